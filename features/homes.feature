Feature: Decisions on homes that are gone and the daemons that held their slots

  Scenario: A request goes on looking while another home may take over
    Then in 300 generated searches a slot is found wherever a home gives one in time
    And no home is asked again after a final answer, and none after the time to give up

  Scenario: Departed members count until their process has ended or reports again
    Then in 400 generated histories nothing counts as settled while a departed process may use a pin
    And a departed member whose connections are refused counts no longer than 2.6 s more

  Scenario: What proves the end of a process
    Then one refused connection proves nothing, nor do two with an answer or a silence between
    And two refused connections in a row prove the end, another incarnation only a new name

  Scenario: The loss of a failure domain takes one share of each workspace and few witnesses
    Then in 200 generated views each share is at another member, in another domain where there are 3
    And the loss of a whole domain takes one share at most, and leaves a majority of witnesses
    And a member that joins or ends moves no share between domains that stay
