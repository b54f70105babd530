Feature: A resumed stream goes on where it broke, or breaks

  # Guards against an error, or other events, in the middle of a caller's stream.
  Scenario Outline: The next engine answers a resumption with <answer>
    Given a fleet of 1 daemon with 2 engines
    When a stream breaks in its sixth event and engines resume it with <answer>
    Then the caller has five events, each once, and no end

    Examples:
      | answer                 |
      | the head of an error   |
      | all events again       |
      | a gap of two events    |
      | an event without an id |
      | nothing                |

  # Guards against broken streams that could have gone on.
  Scenario Outline: The next engine resumes a stream <how>
    Given a fleet of 1 daemon with 2 engines
    When a stream breaks in its sixth event and engines resume it with <how>
    Then the caller has six events, each once, and the end

    Examples:
      | how                       |
      | its last event            |
      | a comment and that event  |
