"""The emulator's command line: `python -m emulator --help`."""

import fire

from emulator import store
from emulator import upstream_process


class Commands:
    """Parts of the platform as processes."""

    def store(self, address: str) -> None:
        """Serves an empty key-value store.

        Args:
          address: `ip:port` to listen on.
        """
        store.main(address)

    def upstream(
        self, address: str, store: str, plan: str = "{}", announce: str = ""
    ) -> None:
        """Runs an upstream that registers in a store.

        Args:
          address: `ip:port` to listen on.
          store: `ip:port` of the store.
          plan: its behaviour as JSON; see `UpstreamPlan`.
          announce: address to register, if it is reached through another.
        """
        upstream_process.main(address, store, plan, announce)


def main() -> None:
    """Runs the command that is named."""
    fire.Fire(Commands, name="emulator")


if __name__ == "__main__":
    main()
