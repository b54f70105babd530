Feature: Bytes that never make an answer are given up at a limit on bytes and on time

  # Guards against a daemon that reads such an answer until the request's deadline, and
  # then has no time left to send an idempotent request to another endpoint.
  Scenario: A service sends an answer without an end to an idempotent request
    Given a fleet of 1 daemon with 1 engine
    And a second ledger
    Then for every kind of endless answer the other ledger's answer arrives within 1.5 s
    And each kind has closed the connection, a log line and a failure of its endpoint

  # Guards against a second execution of a request after an answer that was given up.
  Scenario: A service sends an answer without an end to a request that may run once
    Given a fleet of 1 daemon with 1 engine
    And a second ledger
    Then for every kind of endless answer the caller gets 502 and one ledger executed it

  # Guards against answers that outlast the deadline because each byte restarts a timeout.
  Scenario: A service sends a byte of an answer now and then
    Given a fleet of 1 daemon with 1 engine
    Then for every kind of trickled answer the caller gets 504 within 0.6 s of its deadline
    And each trickled answer's connection is closed

  # Guards against a daemon that ends because many endless answers take all its memory.
  Scenario Outline: Many endless answers at once
    Given a fleet of 1 daemon with 1 engine
    When 24 requests at once get <kind> without an end
    Then the daemon's memory has grown by less than 32 MB
    And the next request is served

    Examples:
      | kind                  |
      | body without a length |
      | body of a huge length |
      | chunks                |
      | continue heads        |

  # Guards against limits on memory that break answers which do end.
  Scenario: Many large answers at once
    Given a fleet of 1 daemon with 1 engine
    When 8 requests at once get an answer of 8 MB
    Then all answers arrive complete

  # Guards against a stream whose buffered event takes all memory, and is never resumed.
  Scenario: An event without an end in a stream that may resume
    Given a fleet of 1 daemon with 2 engines
    When an event without an end follows the second event of a stream that may resume
    Then the caller gets every event once
    And the daemon logs the limit of an event

  # Guards against a cut stream that looks complete to its caller.
  Scenario: An event without an end in a stream that may not resume
    Given a fleet of 1 daemon with 2 engines
    When an event without an end follows the second event of a stream that may not resume
    Then the caller sees that the stream is incomplete

  # Guards against many streams whose events without an end take all memory.
  Scenario: Many events without an end at once
    Given a fleet of 1 daemon with 1 engine
    When 24 streams at once get an event without an end
    Then the daemon's memory has grown by less than 32 MB

  # Guards against an owner that waits for one engine's report or order for good.
  Scenario: An engine answers orders and reads of its report without an end
    Then every kind of endless report is given up within 0.9 s and of endless order within 1.2 s

  # Guards against a daemon that takes no more configurations because a read of the store
  # doesn't end, or ends because of its size.
  Scenario: The store answers reads without an end
    Then every kind of endless answer of the store is given up within 2 s

  # Guards against a read of pages that goes on for good.
  Scenario: The store announces another page for ever
    Then a read of endless pages is given up within 4 s

  # Guards against missing a configuration whose record was cut off, since the end of a
  # connection was taken for the end of the records.
  Scenario: The store's answer to a read is cut off
    Then a read that is cut after any byte fails or has the complete records

  # Guards against the same in a daemon, for its memory and for what it does afterwards.
  Scenario: The store sends endless answers to a daemon for a time
    Given a fleet of 1 daemon with 1 engine
    When the store sends endless answers for 3 s
    Then the daemon's memory has grown by less than 32 MB
    And a configuration declared afterwards is in force within 3 s

  # Guards against the next request's answer being read from the middle of a broken one.
  Scenario: A chunk size that is no number
    Given a service that sends an invalid chunk size and keeps the connection open
    Then neither client sends its next request on that connection

  # Guards against a request that outlasts its deadline because it is still being sent.
  Scenario: A service reads a request slowly
    Given a service that reads 64 KB of a request every 0.2 s
    Then a request of 12 MB that is aborted after 0.4 s ends within 1 s

  # Guards against an answer given up without a record of the limit, if its first bytes arrive
  # together with its head.
  Scenario: A chunk size without an end arrives with its head
    Then an endless chunk size that begins with the head exceeds the limit of framing
    And it exceeds a limit of the client of the store too

  # Guards against an event line of a model server that fills the memory.
  Scenario: A model server's event line without an end
    Then an event line without an end is given up at its limit

  # Guards against bodies that wait for each other's memory for good.
  Scenario: Bodies that find no memory left
    Then the oldest large body may grow and the others wait until it ends

  # Guards against exceptions of other types, which would end a thread, and against reading
  # beyond the limits.
  Scenario: Generated heads and bodies
    Then generated answers are read within the limits or end in a known error

  # Guards against an event that is changed, lost or doubled by how its bytes arrive.
  Scenario: Generated events in generated parts
    Then generated streams are relayed unchanged or exceed the limit of an event
