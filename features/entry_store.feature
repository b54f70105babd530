Feature: Configurations are in force in time although the store's answers are lost

  # Guards against incident CONFIG: long polls that an outage had swallowed were awaited
  # for 9.5 s, on all daemons alike, while the store answered all other calls.
  Scenario Outline: A configuration declared after a silent outage of the store
    Given a fleet of <daemons> daemons with 1 engine
    When a configuration is declared and the store is silent for 5.2 s from then on
    And another configuration is declared at the end of the silence
    Then all daemons have it in force 3 s later

    Examples:
      | daemons |
      | 1       |
      | 3       |

  # Guards against the same cause without an outage: idle connections fall silent for good
  # while new ones work, and each daemon waits for its long poll.
  Scenario Outline: A configuration declared after all open connections to the store fell silent
    Given a fleet of <daemons> daemons with 1 engine
    When a configuration is declared and the open connections to the store fall silent
    And another configuration is declared 1 s later
    Then all daemons have it in force 2 s later

    Examples:
      | daemons |
      | 1       |
      | 3       |
