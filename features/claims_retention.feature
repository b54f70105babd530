Feature: Claims outlive their records in the log

  Scenario: A daemon that starts after the claims' records have expired refuses repeats
    Given 2 daemons that have run 6 actions
    When the log has dropped the records of their claims
    And a daemon starts that has read none of them
    Then each action repeated through it gets its first response
    And a repeat through it with another body is refused with 409 "idempotency_conflict"
    And an action with a new key runs
    And the ledger has run 7 actions
