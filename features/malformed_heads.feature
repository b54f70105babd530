Feature: An answer whose head isn't well-formed is no answer
  A faulty endpoint adds a line to the head of its answer that isn't a field.

  # Guards against answers that reach callers with that line, or with another body than the
  # endpoint's since the lines behind it were dropped, framing among them.
  Scenario Outline: <requests> whose answers have such a line, ended by <framing>
    Given a fleet of 1 daemon with 1 engine
    And endpoints whose answers end by <framing>
    When each malformed line comes first, in the middle or last in answers to <requests>
    Then each caller is told with status 502 that the request may have run, and not the line
    And each of them ran once
    And the log names each refused line, escaped

    Examples:
      | framing        | requests |
      | chunks         | payments |
      | connection end | payments |
      | chunks         | streams  |
      | connection end | streams  |

  # Guards against a failure for a caller whose request could run again elsewhere.
  Scenario: A request that may be repeated runs at another endpoint
    Given a fleet of 1 daemon with 1 engine
    And a second ledger
    When the first answer to each of 12 look-ups has a malformed line
    Then all callers get a success

  # Guards against a stream that goes on with the bytes of an answer that is none.
  Scenario: A stream is resumed, and the answer has a malformed line
    Given a fleet of 1 daemon with 1 engine
    When 12 streams are cut after 2 events and resumed by an answer with a malformed line
    Then each caller has the first 2 events, and its connection is cut

  # Guards against a daemon that passes such an answer on, or tells that nothing has run.
  Scenario: A daemon without links to endpoints has another one send the request
    Given a fleet of 3 daemons and 2 engines whose links can be cut
    And the first daemon has lost its links to all endpoints
    When each malformed line comes first, in the middle or last in answers to payments
    Then each caller is told with status 502 that the request may have run, and not the line
    And each of them ran once

  # Guards against refusals of what the protocol allows, and against values that are changed.
  Scenario: Rare fields that are sound
    Given a fleet of 1 daemon with 1 engine
    When each rare line comes first, in the middle or last in answers to payments
    Then each caller gets the answer with the field as it was sent

  # Guards against the same class of answers at the other program.
  Scenario: A plain service answers pimentohoistd with a malformed line
    Given a daemon with 2 ledgers as plain services
    And the ledgers answer each call with another malformed line
    When an action is sent for each line
    Then each action's caller gets 502 with "unknown", and not the line
