Feature: The experiment tool detects broken invariants and passes correct runs

  Scenario Outline: Each broken invariant is detected
    Given the requests that an experiment's endpoints received, with <fault>
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

  Scenario: An experiment without violations reports nothing
    Given the requests that an experiment's endpoints received, with no fault
    Then the experiment reports nothing

  Scenario: The same seed gives the same arrivals, skewed by the Zipf exponent
    When the arrivals of an experiment are generated twice
    Then both are equal and the most popular adapter comes first

  Scenario Outline: Each broken invariant that a single fault checks is detected
    Given a finished experiment with the fault "<fault>", in which <what>
    Then the fault reports "<line>" and nothing else

    Examples:
      | fault            | what                                     | line                                                |
      | withdraw-key     | a request is answered 6 s after          | 1 requests answered on a key withdrawn 5 s before   |
      | withdraw-key     | a request is answered 4 s after          |                                                     |
      | withdraw-key     | the publish was lost                     |                                                     |
      | racing-operators | both publishes on a section are accepted | two publishes on one section were accepted          |
      | racing-operators | an accepted change is not in force       | accepted changes lost: workspace-1                  |
      | racing-operators | one publish is accepted and in force     |                                                     |
      | poison           | 3 engines crash                          | 3 engines crashed on one request                    |
      | poison           | 2 engines crash                          |                                                     |

  Scenario: Two faults of one kind affect different processes
    When the faults "kill-daemon", "freeze-daemon" and "kill-engine", "cold-engine" are built
    Then each pair affects two processes

  Scenario: Refusals are counted by code and step, and refusals within rate separately
    Given an experiment of 1 workspace with a burst of 20 tokens and no rate
    When requests of 15 tokens are answered, refused, refused for their key, and refused by a silent engine
    Then the report counts 2 "rate_limit_exceeded" at "limits" and 1 "peer_timeout" at "retry"
    And none of these refusals is within rate
    And with a burst of 100 tokens 3 refusals are within rate

  Scenario Outline: Invariants hold under faults of operators, keys or a whole failure domain
    When an experiment of <duration> s runs with the faults "<faults>"
    Then no invariant is broken

    Examples:
      | duration | faults                             |
      | 15       | withdraw-key                       |
      | 6        | lose-domain                        |
      | 6        | racing-operators+log-loses-answers |
      | 6        | poison                             |
      | 6        | kill-home+log-down                 |

  Scenario: Most requests are answered while the daemon that owns the fewest resources is killed and the log is down
    When an experiment of 6 s on 5 daemons runs with the faults "kill-bystander+log-down"
    Then no invariant is broken and most requests are answered
