Feature: Settings are checked as a whole

  Scenario: A broken settings file is refused with every fault and no half-start
    When a daemon starts with a settings file that has three faults
    Then it exits with code 2 and names all three paths on standard error

  Scenario: A file that is not TOML is refused
    When a daemon starts with a settings file that is not TOML
    Then it exits with code 2 and one line on standard error
