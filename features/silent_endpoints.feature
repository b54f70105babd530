Feature: Sound endpoints fall silent for a second or so and go on

  # Guards against connections that are given up while a sound endpoint reads nothing.
  Scenario Outline: An endpoint reads nothing of a long request for <silence_s> s
    Given an endpoint that reads nothing for <silence_s> s and then answers
    Then a request of 12 MB is answered

    Examples:
      | silence_s |
      | 1.2       |
      | 2         |

  # Guards against connections to an endpoint that has vanished, which nothing else ends.
  Scenario: Connections are given up while a caller's stream can still go on elsewhere
    Then a connection whose data isn't acknowledged is given up within 3 s

  # Guards against streams that are cut or run twice since their engine was silent.
  Scenario: Engines stand still for 1.4 s in the middle of streams
    Given a fleet of 2 daemons and 2 engines whose links can be cut
    And callers of each daemon send requests with own bodies
    When each engine in turn is silent for 1.4 s, 2 times
    Then no request that an endpoint may have begun has failed
    And no request has run twice
