Feature: Engines that fall over when they turn too many requests away

  # Guards against daemons that send brittle engines more than there is room for, each by itself.
  Scenario Outline: All engines are brittle while callers press beyond their room
    Given a fleet of 4 daemons with 3 engines
    And callers of all daemons send 90 streams a second that take 200 ms each
    When all engines have room for 8 and fall over beyond <brittle> turned away in a second
    Then from 3 s on they fall over no more often than 2 and a tenth of their number
    And from 3 s on callers use at least 0.6 of their room
    And those who can't be served are refused within 1.2 s and told when to return

    Examples:
      | brittle |
      | 3       |
      | 8       |

  # Guards against brittle plain services, for which no adapter is held.
  Scenario: A brittle plain service gets more requests than it has room for
    Given a fleet of 4 daemons with 1 engine
    And callers of all daemons send 80 look-ups a second that take 150 ms each
    When the ledger has room for 8 and falls over beyond 3 turned away in a second
    Then from 3 s on they fall over no more often than 2 and a tenth of their number
    And from 3 s on callers use at least 0.6 of their room

  # Guards against engines that are spared for longer than they say that they are brittle.
  Scenario: The engines are sound again
    Given a fleet of 4 daemons with 3 engines
    And callers of all daemons send 60 streams a second that take 100 ms each
    When all engines have room for 8 and fall over beyond 3 turned away in a second
    And the engines are sound again
    Then 3 s later at least 0.98 of the callers are served
