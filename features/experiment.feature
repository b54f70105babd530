Feature: The experiment tool finds broken promises and passes whole runs

  Scenario Outline: Each broken promise is found
    Given what the endpoints of an experiment saw, with <fault>
    Then the experiment reports "<line>" and nothing else

    Examples:
      | fault                                   | line                                          |
      | a key in a header                       | an endpoint saw a key                         |
      | a run on another adapter                | 1 runs on the wrong adapter                   |
      | an eviction in use                      | engine-1: 1 evictions in use                  |
      | an answer that is not whole             | 1 answers not whole                           |
      | an action run twice                     | 1 actions run more than once                  |
      | an action answered but not run          | 1 actions answered but not run                |
      | an action run but refused as not run    | 1 actions refused as not run that were run    |
      | more tokens than rate and burst         | 1 workspaces above rate and burst             |

  Scenario: A sound experiment has nothing to report
    Given what the endpoints of an experiment saw, with no fault
    Then the experiment reports nothing

  Scenario: Arrivals are the same for the same seed and skewed as asked
    When the arrivals of an experiment are drawn twice
    Then both are equal and the most popular adapter comes first

  Scenario: Promises hold while a daemon is killed and the log is down
    When an experiment of 6 s runs with the faults "kill-daemon+log-down"
    Then no promise is broken and most requests are answered
