Feature: Memory for callers' requests is shared out
  Decisions on a budget of 8 MiB, with reads of 8 KiB.

  # Guards against a crowd that takes all memory, and against ordinary requests that wait for it.
  Scenario: 1,000 callers send bodies of 4 MiB and stop
    Given 1000 bodies of one address that grow in turn until none may be read
    Then at most the budget is held and 100 ordinary requests may be read
    And after 1 s the bodies are given up in the order of their last progress until one of another address fits

  # Guards against bodies that wait for each other's memory for good.
  Scenario: 40 callers send bodies of 4 MiB whole
    Then all 40 bodies end one after the other without a refusal

  # Guards against one workspace that keeps the others from sending large bodies.
  Scenario: A workspace holds most of the budget
    Then its bodies wait while a body of another workspace grows to 2 MiB

  # Guards against memory that stays counted after its request has ended.
  Scenario: Generated requests
    Then the budget holds nothing after generated requests have ended

  # Guards against limits that a typing error lifts, and a start that fails without them.
  Scenario: Settings of limits
    Then settings without limits have defaults and those that aren't numbers above 0 are refused
