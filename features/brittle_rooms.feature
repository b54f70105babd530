Feature: Daemons share the room of an endpoint that falls over

  # Guards against daemons that go on all at once after a pause, and that take an endpoint's
  # room to be as small as what they have heard of the others' requests.
  Scenario Outline: Callers press on an endpoint with the room that it says to have
    Given <daemons> daemons and a brittle endpoint with room for 8 of 8 requests
    When callers ask <press> times for its room, <callers>, in 20 plays of 12 s
    Then it falls over at most 4 times in all plays
    And callers use at least 0.6 of its room

    Examples:
      | daemons | press | callers  |
      | 2       | 1.5   | evenly   |
      | 4       | 1.5   | evenly   |
      | 4       | 4     | unevenly |
      | 8       | 4     | evenly   |

  # Guards against more requests in flight than there is room for, where daemons are many or
  # the room is smaller than the endpoint says.
  Scenario Outline: An endpoint has little room
    Given <daemons> daemons and a brittle endpoint with room for <room> of 8 requests
    When callers ask <press> times for its room, evenly, in 20 plays of 12 s
    Then it falls over at most 4 times in all plays

    Examples:
      | daemons | room | press |
      | 4       | 4    | 4     |
      | 8       | 4    | 4     |
      | 16      | 8    | 1.5   |
      | 24      | 8    | 1.5   |
      | 24      | 8    | 4     |
      | 24      | 4    | 0.9   |
