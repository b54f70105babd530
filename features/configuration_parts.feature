Feature: Snapshots and keys, part by part

  Scenario Outline: Of the snapshots in a stream only whole and sound ones are taken
    Given a snapshot of 3 chunks that covers 5 records
    And a snapshot of 3 chunks that covers 9 records, <damage>
    When the snapshots stream is searched
    Then the snapshots that cover <found> records are found, in this order

    Examples:
      | damage                      | found |
      | undamaged                   | 9, 5  |
      | its first chunk lost        | 5     |
      | its last chunk lost         | 5     |
      | one byte changed            | 5     |
      | a chunk with a wrong number | 5     |
      | its chunks in reverse order | 9, 5  |

  Scenario Outline: What a withdrawn key ends and what it does not
    Given a request for <kind> whose key is withdrawn while it runs
    When the watch passes its response on
    Then the caller gets <outcome>

    Examples:
      | kind                 | outcome                             |
      | an action            | the whole response                  |
      | an idempotent call   | the error "invalid_api_key", as run |
      | a plain completion   | the error "invalid_api_key", as run |

  Scenario: A stream on a daemon that is cut off ends after the grace period
    Given a stream whose daemon stops being fresh
    When 2.1 s pass by the watch's clock
    Then the stream has ended with the error "unavailable"
