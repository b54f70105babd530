Feature: A request waits for its adapter where and as long as that is worth something

  Background:
    Given 3 engines whose owners can't load the adapter now
    And a request with a latency target of 0.5 s and a deadline of 6 s

  # Guards against a refusal at the latency target, though a late response is worth something.
  Scenario: An adapter slot becomes free after the latency target
    Given the owner of engine e2 loads the adapter after 3 s
    When an engine is chosen
    Then it is e2 after 3 to 4.5 s

  # Guards against waiting at the first engine while another one has a shorter queue.
  Scenario Outline: One owner expects a shorter wait than the others
    Given the owners of e0, e1 and e2 expect waits of <e0> s, <e1> s and <e2> s
    And the owner of engine <engine> loads the adapter after 0.4 s
    When an engine is chosen
    Then it is <engine> after 0.4 to 0.5 s

    Examples:
      | e0  | e1  | e2  | engine |
      | 0.3 | 2   | 1   | e0     |
      | 2   | 0.3 | 1   | e1     |
      | 2   | 1   | 0.3 | e2     |

  # Guards against requests that are held although no queue can serve them.
  Scenario: No queue can serve the request before its deadline
    Given the owners of e0, e1 and e2 find the wait useless, with 9 s, 3 s and 7 s to go
    When an engine is chosen
    Then it is refused as not run after 0 to 0.1 s with a Retry-After of 3 to 4.5 s
    And the metrics count a refusal by reason queue and a wait of priority 0

  # Guards against requests that wait for as long as they like.
  Scenario: The deadline comes nearer than the prompt takes
    Given the request has a prompt of 80000 tokens
    When an engine is chosen
    Then it is refused as not run after 4.5 to 5.1 s with a Retry-After of 0.2 to 1 s
    And the metrics count a refusal by reason deadline and a wait of priority 0

  # Guards against a stream that waits longer than its caller for the next event.
  Scenario: A stream that has begun looks for another engine
    Given the request is a stream that has begun
    When an engine is chosen
    Then it is refused as not run after 0.9 to 1.1 s with a Retry-After of 0.2 to 1 s

  # Guards against requests that are lost with the owner at which they wait.
  Scenario: An owner dies while requests wait
    Given the owner of engine e0 can't be reached from 0.2 s on
    And the owner of engine e1 loads the adapter after 1 s
    When an engine is chosen
    Then it is e1 after 1 to 2 s

  Scenario: All owners die while requests wait
    Given the owners of all engines can't be reached from 0.2 s on
    When an engine is chosen
    Then it is refused as not run after 0.2 to 0.8 s with a Retry-After of 0.2 to 1 s
    And the metrics count a refusal by reason no owner and a wait of priority 0

  # Guards against a frozen owner that keeps a request until its deadline.
  Scenario: An owner freezes
    Given the owner of engine e0 answers no calls
    And the owner of engine e1 loads the adapter after 0.1 s
    When an engine is chosen
    Then it is e1 after 0.5 to 1.5 s

  # Guards against a queue that is filled by requests whose callers have left.
  Scenario: A caller leaves while its request waits
    Given the caller leaves after 1.2 s
    When an engine is chosen
    Then it is refused as not run after 1.2 to 1.8 s with a Retry-After of 0.2 to 1 s
    And the metrics count a refusal by reason cancelled and a wait of priority 0

  # Guards against many calls to the owners for each waiting request.
  Scenario: A request waits until its deadline
    When an engine is chosen
    Then it is refused as not run after 5.5 to 6.1 s with a Retry-After of 0.2 to 1 s
    And at most 30 calls were made
