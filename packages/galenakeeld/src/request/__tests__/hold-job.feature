Feature: A holder follows the parts of a job at the owners of several cells

  Background:
    Given a job of 4 tasks whose home cell is "north"

  Scenario: A job ends when all its parts have ended
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "north" ends part "0"
    Then there is no answer yet
    When the owner of "south" ends part "0.1"
    Then the holder answers "complete"

  Scenario: A part is handed over with its own tasks only
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    Then part "0.1" was last submitted to "south" with the tasks "0.2, 0.3"

  Scenario: News that comes twice moves tasks once
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    Then part "0.1" was submitted 1 times

  Scenario: A part that another cell refuses goes home, where it can't be refused
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" refuses part "0.1"
    Then part "0.1" was last submitted to "north" with the tasks "0.2, 0.3"
    And part "0.1" was submitted as one that can't be refused

  Scenario: A job whose only part is refused at home is refused
    When the owner of "north" refuses part "0"
    Then the holder answers "refused"

  Scenario: A whole job that another cell refuses goes home before it is refused
    When the owner of "north" hands the tasks "0.0, 0.1, 0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" refuses part "0.1"
    Then part "0.1" was last submitted to "north" with the tasks "0.0, 0.1, 0.2, 0.3"
    When the owner of "north" refuses part "0.1"
    Then the holder answers "refused"

  Scenario: A whole job that went to another cell can still be refused there
    When the owner of "north" hands the tasks "0.0, 0.1, 0.2, 0.3" of part "0" to "south" as part "0.1"
    Then part "0.1" was submitted as one that can be refused

  Scenario: A job of which a part has run is not refused, though the news of its start was lost
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" ends part "0.1"
    And the owner of "north" refuses part "0"
    Then there is no answer yet
    And part "0" was submitted as one that can't be refused

  Scenario: A part that can't be refused, and is, ends the job with an unknown outcome rather than going round
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" refuses part "0.1"
    And the owner of "north" refuses part "0.1"
    Then the outcome is unknown
    And part "0.1" was submitted 2 times

  Scenario: The loss of one owner moves its part only
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the task "0.2" of part "0.1" succeeds
    And the owner of "south" is lost
    Then part "0.1" was last submitted to "south" with the tasks "0.3"
    And part "0" was submitted 1 times

  Scenario: A part whose owner is replaced names the token of the lost one
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" is lost
    Then part "0.1" was last submitted to "south" with the highest token 1

  Scenario: A part that leaves a lost cell names no token to the owner of another cell, whose endpoints never saw it
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" is lost, and nobody takes the cell over
    Then part "0.1" was last submitted to "north" with the highest token 0

  Scenario: A part that fails ends the job, and the others are withdrawn
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the owner of "south" fails part "0.1"
    Then the holder answers "failed"
    And part "0" was withdrawn

  Scenario: A caller that leaves has all parts withdrawn
    When the owner of "north" hands the tasks "0.2, 0.3" of part "0" to "south" as part "0.1"
    And the caller leaves
    Then part "0" was withdrawn
    And part "0.1" was withdrawn
