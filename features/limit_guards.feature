Feature: Each guard of the limit's decisions holds by itself

  Scenario: An owner cut off from the log and its successor
    Given a limit of 1 token/s and a burst of 30 with one owner that has read the log
    When another daemon joins and the first owner is cut off from the log
    And at 0.1 s daemon 1 sends as many requests as it can
    And at 1.9 s daemon 0 sends as many requests as it can
    And at 2.5 s daemon 1 sends as many requests as it can
    And at 5.5 s daemon 1 sends as many requests as it can
    And at 40.0 s daemon 0 sends as many requests as it can
    And at 40.1 s daemon 1 sends as many requests as it can
    Then no window is over the limit, and the second daemon has admitted a request

  Scenario: Grants of an owner cut off from the log and its successor
    Given a limit of 20 token/s and a burst of 30 with one owner that has read the log
    When another daemon joins and the first owner is cut off from the log
    And at 0.1 s daemon 1 sends as many requests as it can
    And at 1.9 s daemon 0 sends as many requests as it can
    And at 2.0 s daemon 1 sends as many requests as it can
    And at 8.0 s daemon 1 sends as many requests as it can
    Then no window is over the limit, and the second daemon has admitted a request

  Scenario: An owner that lost its shares and regained them before it had read either change
    Given a limit of 1 token/s and a burst of 30 with one owner that has read the log
    When another daemon joins and the first owner is cut off from the log
    And at 5.5 s daemon 1 sends as many requests as it can
    And at 40.0 s daemon 1 sends as many requests as it can
    And at 40.5 s the second daemon has expired and the first reads the log
    And at 41.0 s daemon 0 sends as many requests as it can
    Then no window is over the limit, and the second daemon has admitted a request

  Scenario: Grants of an owner that is proved to have ended and its successor
    Given a limit of 20 token/s and a burst of 30 with one owner that has read the log
    When another daemon takes a grant from each share and the first owner is killed
    And at 0.2 s the second daemon finds that the first has ended and begins if it may
    And at 2.9 s daemon 1 sends as many requests as it can
    And at 3.3 s the second daemon begins if it may
    And at 4.0 s daemon 1 sends as many requests as it can
    Then no window is over the limit, and the second daemon has admitted a request
    And the second daemon has begun with all shares before a fence would allow it

  Scenario: Times and clocks
    Then a grant spent just before it expires leaves no tokens accrued up to that time
    And an owner whose clock runs fast accrues no more than the rate in true time
    And a grant's validity is counted from the time at which its request was sent

  Scenario: Ends of ownership terms
    Then an ownership term that was closed neither begins again nor returns its state twice
    And an ownership term that never began doesn't hand over the state of an earlier one
    And an ownership term that never began is reported as such each time
    And a daemon that restored the view from a snapshot has the same ownership terms as one that read every record

  Scenario: Owners of shares that don't answer for a short time
    Then a request waits for an owner that is silent instead of being refused as over its rate
    And a request waits for an owner whose reply was lost
    And a workspace that was refused just before doesn't wait for a silent owner

  Scenario: A burst that was lowered while grants are open
    Then tokens returned to a share never fill it above its new burst, nor are they granted again

  # Guards against limits on time that add up: a call to an owner, and a wait after it.
  Scenario: The owners of all shares are silent
    Given a daemon whose calls to the owners of shares time out
    Then a request is refused within 1 s, after a call to each owner

  # Guards against calls one after another, or in a queue for threads, that add up.
  Scenario: The owners of all shares are slow and have no tokens
    Given a daemon whose calls to the owners of shares take 0.2 s and grant nothing
    Then 40 requests at once are each refused within 1 s
