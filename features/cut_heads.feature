Feature: An answer whose head is cut off is no answer
  A faulty endpoint stops in the middle of its answer's head and closes its connection.

  # Guards against a success with an empty body, framed as whole, after a head that was cut off.
  Scenario Outline: An endpoint closes in the middle of its answer's head (<framing>)
    Given a fleet of 1 daemon with 1 engine
    And endpoints whose answers end by <framing>
    When the head of the answer to each of 40 <requests> is cut after another number of bytes
    Then no caller gets a success
    And each of them ran once at most

    Examples:
      | framing        | requests |
      | chunks         | payments |
      | chunks         | streams  |
      | connection end | payments |
      | connection end | streams  |

  # Guards against a failure for a caller whose request could run again elsewhere.
  Scenario: A request that may be repeated runs at another endpoint
    Given a fleet of 1 daemon with 1 engine
    And a second ledger
    When the head of the answer to each of 12 look-ups is cut after another number of bytes
    Then all callers get a success

  # Guards against a store's answer that counts although its head, with the era, is cut off.
  Scenario: The store closes in the middle of its answer's head
    Then a read of the store fails after any number of bytes of the head
