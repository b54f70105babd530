Feature: One thread passes the tokens of all streams on

  Scenario: Events don't depend on how the engine's stream is cut into parts
    Then over generated streams and cuts the events equal those of the whole stream

  Scenario: Many answers are passed on whole and in order
    Given a relay with 40 answers of 50 parts that end in their own threads
    When all parts are sent, in a generated order over the answers
    Then each answer has its own parts once and in order

  Scenario: An answer that fails or closes its source holds up no other
    Given a relay with 2 answers of 50 parts that end in their own threads
    When an answer beside them fails and closes its source
    And all parts are sent, in a generated order over the answers
    Then the failure was raised in its own thread
    And each answer has its own parts once and in order

  Scenario: An answer of a silent engine ends when it must
    Given a relay with an answer to which nothing is sent
    When the answer is to end
    Then it ends within 5 s
