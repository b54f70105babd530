Feature: No failure domain holds more of a workspace's limit than it must

  Scenario: Shares lie in different failure domains, and stay where they can
    Then over 500 generated views each share has one home, in a domain of its own
    And a member that leaves takes only its own shares' homes along if its domain stays
