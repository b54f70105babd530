Feature: A part of a prompt that crashes engines is refused, and nothing else is

  # Guards against engines that crash one after the other since no two of the requests that
  # crash them are alike, and against sound requests that are lost beside them.
  Scenario: Requests that share a part crash each engine that answers one
    Given a fleet of 2 daemons with 5 engines that crash on a part of a prompt
    When requests with that part come for 20 s beside sound ones
    Then at most 3 of them reach engines later than 3 s after the fifth crash
    And from 6 s after that crash on sound requests are served as often as before, or half

  # Guards against a daemon that knows nothing of the crashes before its start.
  Scenario: A daemon starts after a part was quarantined
    Given a fleet of 2 daemons with 5 engines that crash on a part of a prompt
    When requests with that part come until all daemons quarantine it
    And another daemon has started and is ready
    Then it refuses 5 requests with the part and no engine gets one
    And it serves a request without the part
