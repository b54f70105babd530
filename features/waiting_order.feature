Feature: Requests that wait for adapter slots go by priority, deadline and work

  # Guards against an order by chance, in which all kinds of requests are late alike.
  Scenario Outline: More is requested of an engine than it has adapter slots for
    Given the requests of deployment <deployment> at one engine, <load> times as many
    Then <gain> times as much worth is served as by chance and until the latency target
    And no request waits longer than its deadline allows

    Examples:
      | deployment | load | gain |
      | A          | 1.8  | 1.15 |
      | A          | 2.5  | 1.4  |
      | B          | 1.8  | 1.03 |
      | B          | 2.5  | 1.15 |

  # Guards against unhurried work that delays urgent streams, or that is put off for ever.
  Scenario Outline: A burst of unhurried work comes beside urgent streams
    Given the urgent streams of deployment <deployment> at one engine
    When <count> requests of its unhurried stream arrive at once
    Then at least <share> of the urgent streams are on time
    And all of the unhurried streams end before their deadlines

    Examples:
      | deployment | count | share |
      | A          | 60    | 0.9   |
      | B          | 20    | 0.9   |

  # Guards against requests that wait until their deadline for a turn that can't come.
  Scenario: The queue can't be served before the deadlines
    Given an engine that begins a load each 0.1 s, and 200 requests with 2 to 6 s left
    Then those that can't be served are refused at once, the least loss for its work first
    And a new request after the named wait gets its turn about then

  Scenario: A request has less time left than its prompt and its load take
    Given an engine that begins a load each 0.1 s, and 1 requests with 0 to 0.1 s left
    Then it is refused at once since it would miss its deadline

  # Guards against late requests that wait for ever while urgent ones keep coming.
  Scenario: Urgent requests take up all turns
    Given an engine that begins a load each 0.1 s, and 40 requests with 9 to 10 s left
    When one of them is late and the others are replaced by new urgent ones
    Then it gets one of the next 16 turns

  # Guards against a workspace that takes all turns by sending more than the others.
  Scenario: One workspace sends many requests beside another that sends few
    Given 200 equal requests of one workspace and 5 of another, for 20 turns in time
    Then all of the other one's get their turn in time

  # Guards against an engine that seems slow since it was silent once.
  Scenario: An engine was silent for 10 s between its loads
    Given an engine that begins a load each 0.1 s, and 40 requests with 4 to 6 s left
    When one load began only after 10 s
    Then none of the requests is refused

  # Guards against a mean that has grown too large and refuses every request.
  Scenario: An engine recovers that took 10 s for each load
    Given an engine that begins a load each 10 s, and 20 requests with 2 to 6 s left
    When it begins a load each 0.1 s again
    Then after 20 loads it refuses none of 20 such requests

  # Guards against decisions that take longer than the queue is worth.
  Scenario: Decisions compare requests in proportion to n log n
    Then a decision on 10000 requests makes at most 16 times the comparisons of one on 1000
