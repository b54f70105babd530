Feature: A stream that ended early never looks complete to its caller

  # Guards against taking the end of a connection for the end of a stream.
  Scenario: A stream without a length or chunks ends inside an event
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    Then a stream that closes inside an event is incomplete or fails

  # Guards against the same where the rest of the stream could be had elsewhere.
  Scenario: A stream without a length or chunks that may resume ends inside an event
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    Then a stream that closes inside an event is resumed and whole

  # Guards against taking the last chunk for the end of the last event.
  Scenario: A stream in chunks ends inside an event
    Given a fleet of 1 daemon with 2 engines
    Then a stream that closes inside an event is incomplete or fails
    And a stream that closes inside an event is resumed and whole

  # Guards against a record that calls a broken stream answered.
  Scenario: The record of a stream that ended inside an event
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    When a stream closes inside its sixth event
    Then the record of the request names the end inside an event and the framing

  # Guards against calling a stream broken for bytes that belong to no event.
  Scenario: A stream ends with a comment
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    Then a stream that ends with a comment is complete

  # Guards against a check of the end that breaks streams which are whole.
  Scenario: A stream without a length or chunks is whole
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    Then a stream on each route is whole

  # Guards against a success without any event, for a request that could run elsewhere.
  Scenario: A stream without a length or chunks ends before its first event
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    Then a stream that closes before its first event fails or is run again

  # Guards against taking the end of a connection, which the kernel of a crashed engine
  # closes in order, for the end of the stream.
  Scenario: An engine crashes between two events of a stream without a length or chunks
    Given a fleet of 1 daemon with 3 engines
    And engines whose streams end with their connection
    Then a stream whose engine crashes between two events is incomplete
    And one that may resume is whole

  # Guards against failing an empty stream that its engine has ended.
  Scenario: A stream in chunks has no event
    Given a fleet of 1 daemon with 2 engines
    Then a stream without an event is complete

  # Guards against taking a reset for the end of a stream.
  Scenario: A stream without a length or chunks is reset
    Given a fleet of 1 daemon with 2 engines
    And engines whose streams end with their connection
    Then a stream that is reset is incomplete, fails or is resumed

  # Guards against holding a stream back until its end, and resuming it at its first event,
  # because its lines end in CR.
  Scenario Outline: A stream whose lines end in another way
    Given a fleet of 1 daemon with 2 engines
    And engines whose lines end in <line end>
    Then the first event reaches its caller before the last is written
    And a stream that is reset after its fifth event is resumed and whole

    Examples:
      | line end |
      | CR       |
      | CR LF    |

  # Guards against a broken stream that looks complete, since the end of the connection ends
  # both.
  Scenario: A caller with HTTP/1.0 gets a broken stream
    Given a fleet of 1 daemon with 2 engines
    Then a stream that breaks in its sixth event is reset for a caller with HTTP/1.0
    And a whole stream ends with the connection of a caller with HTTP/1.0

  # Guards against a check of streams that breaks the answers of plain services, and against
  # taking a reset for their end.
  Scenario: A plain service's answer has no length
    Given a fleet of 1 daemon with 1 engine
    And a plain service whose answers end with their connection
    Then an answer that is closed is complete, and one that is reset fails

  # Guards against a short answer of a crashed service that looks complete.
  Scenario: A plain service crashes inside an answer without a length
    Given a fleet of 1 daemon with 1 engine
    And a plain service whose answers end with their connection
    Then an answer whose service crashes inside it fails
