Feature: Decisions on owners that are gone and on departed members that held adapter slots

  Scenario: A request goes on searching while another owner may take over
    Then in 300 generated searches a slot is found if any owner gives one in time
    And no owner is asked again after a final answer, and none after the search's deadline

  Scenario: Departed members count until their process has exited or reports again
    Then in 400 generated histories departed members never count as settled while one may use a pin
    And a departed member whose connections are refused counts as unsettled for at most 2.6 s more

  Scenario: Proofs that a process has exited
    Then one refused connection proves nothing, nor do two with an answer or a timeout between
    And two refused connections in a row prove the exit, another incarnation only that the old one is inactive

  Scenario: The loss of a failure domain takes one share of each workspace and a minority of witnesses
    Then in 200 generated views the shares are owned by different members, in different domains if there are 3
    And the loss of a whole domain takes at most one share, and leaves a majority of witnesses
    And a member that joins or leaves moves no share between the remaining domains
