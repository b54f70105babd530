Feature: Sections are held as text, and snapshots delay no reader

  Scenario: Sections held as text read back as they were
    When 200 generated sets of sections are held as text, seed 4102
    Then each set reads back as it was, whole and in part, also from its whole text

  Scenario Outline: A snapshot that contradicts itself is refused
    When a fold is given its own snapshot with <damage>
    Then the snapshot is refused and the state is unchanged

    Examples:
      | damage                        |
      | one digit of its text changed |
      | a section without a version   |
      | a version without a section   |

  Scenario: Readers don't wait while a snapshot is printed or restored
    Given a follower whose fold records whether its lock is held
    When it restores a snapshot and makes one of its own
    Then both are done with the lock free and the states are the same
