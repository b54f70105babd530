Feature: The directory names daemons that callers can reach

  # Guards against callers that are sent to daemons long gone: a daemon that hears of fewer
  # than half of the others takes itself as cut off, and named all that it heard of in 10 s.
  Scenario Outline: Daemons are killed
    Given <daemons> daemons in 3 failure domains that hear of each other
    When <killed> of them are killed
    Then from 7 s on the directory of each other daemon names none of these

    Examples:
      | daemons | killed |
      | 3       | 1      |
      | 3       | 2      |
      | 16      | 14     |
      | 42      | 14     |
      | 42      | 40     |

  # Guards against callers that are left without an address since the daemon that answers
  # them is cut off from the others for a moment.
  Scenario: A daemon is cut off from all others
    Given 16 daemons in 3 failure domains that hear of each other
    When 15 of them are killed
    Then after 4 s the directory of each other daemon still names 16
