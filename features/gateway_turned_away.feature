Feature: Gateways that the store turns away keep up

  # Guards against gateways with an old configuration 4 s after a newer one was
  # acknowledged. The store serves all but one zone; each round queried it first
  # and waited, so the reader's report was old before the others received it.
  Scenario Outline: The store does not answer one zone's gateways
    Given a deployment with 2 gateways in one zone and 1 in another region
    When the store is "<harm>" for the first zone's gateways, and 4 configurations come, 3.3 s apart
    Then each was in force on every gateway within 2.5 s

    Examples:
      | harm    |
      | silence |
      | reset   |
