Feature: Gateways that the store turns away keep up

  # Symptom: some gateways run an old configuration 4 s after a newer one was
  # acknowledged. Sequence: the store leaves a zone's gateways without an answer
  # and serves the others. Cause: in each round the store was asked first and
  # waited for, so the reader's word was old before the others got it.
  Scenario Outline: The store does not answer one zone's gateways
    Given a deployment with 2 gateways in one zone and 1 in another region
    When the store is "<harm>" for the first zone's gateways, and 4 configurations come, 3.3 s apart
    Then each was in force on every gateway within 2.5 s

    Examples:
      | harm    |
      | silence |
      | reset   |
