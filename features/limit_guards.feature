Feature: Each guard of the limit's decisions holds by itself

  Scenario: A home cut off from the log and its successor
    Given a limit of 1 token/s and a burst of 30 with one home that has read the log
    When another daemon joins and the first home is cut off from the log
    And at 0.1 s daemon 1 sends what it can
    And at 1.9 s daemon 0 sends what it can
    And at 2.5 s daemon 1 sends what it can
    And at 5.5 s daemon 1 sends what it can
    And at 40.0 s daemon 0 sends what it can
    And at 40.1 s daemon 1 sends what it can
    Then no window is over the limit, and the second daemon was admitted something

  Scenario: Grants of a home cut off from the log and its successor
    Given a limit of 20 token/s and a burst of 30 with one home that has read the log
    When another daemon joins and the first home is cut off from the log
    And at 0.1 s daemon 1 sends what it can
    And at 1.9 s daemon 0 sends what it can
    And at 2.0 s daemon 1 sends what it can
    And at 8.0 s daemon 1 sends what it can
    Then no window is over the limit, and the second daemon was admitted something

  Scenario: A home that lost its shares and got them back without noticing
    Given a limit of 1 token/s and a burst of 30 with one home that has read the log
    When another daemon joins and the first home is cut off from the log
    And at 5.5 s daemon 1 sends what it can
    And at 40.0 s daemon 1 sends what it can
    And at 40.5 s the second daemon has expired and the first reads the log
    And at 41.0 s daemon 0 sends what it can
    Then no window is over the limit, and the second daemon was admitted something

  Scenario: Grants of a home that has certainly ended and its successor
    Given a limit of 20 token/s and a burst of 30 with one home that has read the log
    When another daemon takes a grant from each share and the first home is killed
    And at 0.2 s the second daemon knows that the first has ended and begins if it may
    And at 2.9 s daemon 1 sends what it can
    And at 3.3 s the second daemon begins if it may
    And at 4.0 s daemon 1 sends what it can
    Then no window is over the limit, and the second daemon was admitted something
    And the second daemon has begun with all shares before the time of a fence

  Scenario: Times and clocks
    Then a grant spent just before its end leaves nothing accrued up to that time
    And a home whose clock runs fast accrues no more than the rate in true time
    And a grant's time runs from before its request was sent

  Scenario: Ends of tenures
    Then a tenure that was closed does not begin again, nor give its state twice
    And a tenure that never began does not pass on the state of one before
    And a tenure that never began says so as often as it is asked
    And a daemon that took the view from a snapshot knows the same former homes as one that read every record

  Scenario: Homes of shares that don't answer for a moment
    Then a request waits for a home that is silent instead of being refused as over its rate
    And a request waits for a home whose reply was lost
    And a workspace that was refused a moment ago doesn't wait for a silent home

  Scenario: A burst that was lowered while grants are open
    Then tokens given back to a share never fill it above its new burst, nor are they granted again
