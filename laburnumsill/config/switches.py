"""Switches of optional parts in the settings."""

import enum


class Switch(enum.StrEnum):
    """Whether a part is in use."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"

    def resolve(self, applies: bool) -> bool:
        """Returns whether the part is in use.

        Args:
            applies: Whether the site has the load that the part answers.

        Examples:
            >>> Switch.AUTO.resolve(True), Switch.OFF.resolve(True)
            (True, False)
        """
        return applies if self is Switch.AUTO else self is Switch.ON
