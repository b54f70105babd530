Feature: Settings of an instance from its environment

  # Guards against limits of the instance that the deploy file states and a daemon doesn't apply.
  Scenario: The environment has settings that the file lacks
    Given a settings file with a grace period of 8 s
    When the environment states a link of 5 Mbit/s, a memory of 160 MB and the regions "a=north,b=south"
    Then a daemon reads a link of 5 Mbit/s, a memory of 160 MB and the region "south" of "b"
    And a grace period of 8 s

  # Guards against an environment that overrides what an operator has written into the file.
  Scenario: Both have a setting
    Given a settings file with a grace period of 8 s
    When the environment states a grace period of 2 s
    Then a daemon reads a grace period of 8 s

  Scenario: The environment has no TOML
    Given a settings file with a grace period of 8 s
    When the environment states "link = = 5"
    Then the settings are refused and the error names "PIMENTOHOIST_INSTANCE"
