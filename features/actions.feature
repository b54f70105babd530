Feature: Actions run at most once through separate processes

  Background:
    Given 3 daemons and a ledger that take actions

  Scenario: Repeats sent to two daemons at the same moment run once
    When 12 actions are each sent to 2 daemons at the same moment
    Then the ledger has 12 action entries and every caller got the answer or "in progress"
    And each action repeated through each daemon gets its first answer back
    And a repeat with another body is refused with 409 "idempotency_conflict"
    And an action without a key is refused with 400 "invalid_request"
    And the ledger has 12 action entries

  Scenario: A daemon killed while its action runs leaves the outcome unknown
    When a daemon is killed while its action runs and is expired from the view
    Then the action repeated elsewhere gets "action_outcome_unknown" with a Retry-After header
    And the ledger has 1 action entries

  Scenario: A daemon frozen before it sends its action thaws after it was taken over
    When a daemon is frozen while it claims an action, is expired, taken over and thaws
    Then its own caller gets the answer, or correctly that the action was not run
    And the action repeated elsewhere has the one entry as its answer
    And the ledger has 1 action entries

  Scenario: Without the log an action is refused at once and its repeat is answered
    Given an action that has run
    When the log is down for actions
    Then a new action is refused within 2 s as not run with a Retry-After header
    And the action that has run is answered again
    And the ledger has 1 action entries
    And the refused action runs once the log is back
    And the ledger has 2 action entries

  Scenario Outline: An append that the log answers badly takes effect once
    When the log has <fault> 2 at the next action
    Then the action is answered and its repeat through another daemon too
    And the ledger has 1 action entries

    Examples:
      | fault         |
      | lose_answers  |
      | drop_requests |

  Scenario: The ledger's lost answer leaves the outcome unknown, also for repeats
    When the ledger loses its answer to an action
    Then the action's caller gets an unknown run state
    And the action repeated elsewhere gets "action_outcome_unknown" with a Retry-After header
    And the ledger has 1 action entries

  Scenario: A ledger that is down leaves the action not run, and it runs later
    When the ledger is down at an action
    Then its own caller is told that the action was not run
    And the action runs under the same key once the ledger is back
    And the ledger has 1 action entries
