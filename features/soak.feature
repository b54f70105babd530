Feature: Fault soak
  Real processes under seeded faults from outside keep the promises to callers.

  # Guards against daemons that break a promise while several faults overlap.
  Scenario: Seeded runs with all kinds of faults break no promise
    When seed 194 is played for 24 s with all kinds of faults but limits
    Then the soak ends with status 0
    When seed 80 is played for 26 s with planned work only
    Then the soak ends with status 0
    When seed 29 is played for 24 s with limits of endpoints
    Then the soak ends with status 0
    When seed 3601 is played for 24 s with engines that are brittle or silent for a second
    Then the soak ends with status 0
    When seed 4207 is played for 30 s with all daemons lost beside odd records and cut heads
    Then the soak ends with status 0
    When seed 5301 is played for 20 s with malformed heads beside planned work
    Then the soak ends with status 0
    And no promise is broken
    And each check has applied in some run
    And nothing of the soak is left running

  # Guards against a signal to stop while a daemon starts, which ended it by that signal.
  Scenario: A seed that failed once plays without a broken promise
    When seed 8 is played for 26 s with planned work only
    Then the soak ends with status 0
    And no promise is broken

  # Guards against checks that see nothing.
  Scenario: A request that ran twice gives exit status 1
    When a run of 8 s with a planted fault is played
    Then the soak ends with status 1
    And the report names the request that ran twice
    And nothing of the soak is left running

  # Guards against runs that go on with less than what was asked for.
  Scenario Outline: Bad input gives exit status 2 and one line
    Given a socket that listens at <address>
    When the soak is started with <options>
    Then the soak ends with status 2
    And the only line of its errors says "<text>"
    And nothing of the soak is left running

    Examples:
      | options                         | address           | text                    |
      | --kinds=term,flood              | 127.99.9.9:9000   | --kinds: unknown flood  |
      | --seconds=2                     | 127.99.9.9:9000   | --seconds: expected     |
      | --daemons=0                     | 127.99.9.9:9000   | --daemons: expected     |
      | --engines=many                  | 127.99.9.9:9000   | --engines: expected     |
      | --seed=x                        | 127.99.9.9:9000   | --seed: expected        |
      | --colour=red                    | 127.99.9.9:9000   | unknown setting         |
      | --seeds=1-3                     | 127.99.9.9:9000   | --seeds: expected       |
      | --replay=/nowhere/report.json   | 127.99.9.9:9000   | --replay                |
      | --report=/nowhere/report.json   | 127.99.9.9:9000   | --report                |
      | --network=127.98                | 127.98.5.1:9000   | Address already in use  |
      | --network=127.97                | 127.97.1.2:8000   | daemon 127.97.1.2       |

  # Guards against tools that take the request for help for one of their settings.
  Scenario Outline: A tool explains its settings
    When <tool> is started with --help
    Then it ends with status 0 and its help names <setting>

    Examples:
      | tool                    | setting |
      | pimentohoist-soak       | seeds   |
      | pimentohoist-experiment | faults  |

  # Guards against processes that outlast an interrupted run.
  Scenario Outline: An interrupt ends all processes of a run
    When the soak gets <signal> <delay_s> s after its start
    Then the soak ends with status 130
    And nothing of the soak is left running

    Examples:
      | signal  | delay_s |
      | SIGINT  | 1       |
      | SIGINT  | 6       |
      | SIGTERM | 6       |

  # Guards against a soak that waits for a hung process without an end.
  Scenario: A process of the soak hangs
    Given callers of the soak that go on for a minute
    When the soak waits 0.5 s for their end
    Then its error names the log, which has the stacks of their threads

  # Guards against plans that a seed doesn't fix, and replays of another plan.
  Scenario: A seed fixes the plan, and a report holds it
    Then each of 50 seeds gives the same plan twice
    And each plan is read from its report as it was
    And a plan that names a daemon that isn't there is refused
