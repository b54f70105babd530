Feature: Cold endpoints get few requests, of all daemons together

  # Guards against a crash of engines that have just started: 77 daemons that each want to
  # send 7 requests a second to an engine that takes 3, and would send 540.
  Scenario Outline: 77 daemons want to send 540 requests a second to a cold engine
    Given 77 daemons that all want to send 7 requests a second to an engine that takes <per_s>
    When <apart> of them can't reach its owner
    Then no second has more requests than one and a half times <per_s> and 5
    And at least <share> of <per_s> a second are sent

    Examples:
      | per_s | apart | share |
      | 3     | 0     | 0.9   |
      | 3     | 30    | 0.7   |
      | 3     | 76    | 0.3   |
      | 40    | 0     | 0.9   |
      | 40    | 30    | 0.7   |

  # Guards against an endpoint that stays limited after it is warm, or is taken as warm by a
  # record that is older than the word of a response or a peer, and against statements that
  # grow older on their way from daemon to daemon and so never end.
  Scenario: Records, responses and daemons say how long an endpoint stays cold
    When a daemon learns the following of an endpoint that takes 4 a second while cold
      | at   | source   | cold for | takes |
      | 0    | record   | 0        | all   |
      | 1    | record   | 6        | 4     |
      | 2    | record   | 5        | 4     |
      | 3    | response | 0        | all   |
      | 4    | response | 9        | 4     |
      | 5    | record   | 0        | 4     |
      | 7.5  | record   | 0        | all   |
      | 9    | peer     | 3        | 4     |
      | 12.5 | record   | 0        | all   |
      | 13   | evacuation | 0      | 4     |
      | 14   | record   | 8        | 4     |
      | 22.5 | record   | 0        | all   |
    Then each time it takes as many requests as listed
    And the daemon passes on what it learned itself, and nothing that it heard of a peer
    And endpoints of a group without the fields are never cold

  # Guards against a cold engine that is chosen while warm ones have room, and against one
  # that is never used though all others are overloaded.
  Scenario: Warm endpoints are preferred
    Then a warm engine without the adapter comes before a cold one that has it
    And a cold engine comes before warm ones that are overloaded
    And a cold service comes after a warm one with requests in all but one of its slots

  # Guards against values that would end a thread, or keep an endpoint cold for good.
  Scenario: Times that can't be read
    Then generated header values and records are read without an error, or rejected

  # Guards against the limit of an endpoint of which only a response says that it is cold.
  Scenario: A service becomes cold, and only its responses say so
    Given a fleet of 3 daemons with one ledger that takes 4 requests a second while it is cold
    And callers of all daemons send 40 look-ups a second
    When the ledger is cold for 6 s, and its record says nothing of it
    Then from 3 s on no second had more requests than one and a half times 4 and 5

  # Guards against daemons that each send what an endpoint takes from all of them.
  Scenario: A service becomes cold during traffic, and its owner is stopped
    Given a fleet of 3 daemons with one ledger that takes 4 requests a second while it is cold
    And callers of all daemons send 40 look-ups a second
    When the ledger is cold for 8 s, and the daemon that grants its permits is stopped after 4 s
    Then from 3 s on no second had more requests than one and a half times 4 and 5
    And callers who can't be served are refused within 0.5 s and told when to come back
    And within 4 s after it is warm at least 0.9 of the callers are served
