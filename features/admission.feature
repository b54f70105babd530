Feature: A request is not refused for a share of its limit that is between two owners

  Scenario: A share whose new owner has not begun yet gets the grant request again
    Given a limit whose shares are between two owners for the first 20 grant requests
    When a request of 10 tokens is charged
    Then it is admitted

  Scenario: A request that the shares refuse is refused at once
    Given a limit whose shares have owners and no tokens
    When a request of 10 tokens is charged
    Then it is refused and no share got more than two grant requests

  Scenario: A flood of requests does not wait for a share that has no owner
    Given a limit whose shares are between two owners for the first 100000 grant requests
    When 12 requests of 10 tokens are charged at the same time
    Then 8 of them are refused while 4 still wait
    When 0.9 s have passed for the limit
    Then all of them are refused
    And another request is refused after at most two more grant requests per share

  Scenario: A share is not handed over before its workspace has been read
    Given a member that has not read the declaration of the workspace yet
    When the share's next owner pulls it, before and after the member has read that
    Then the first pull is refused and the second one hands the whole burst over
