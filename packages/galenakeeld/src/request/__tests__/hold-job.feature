Feature: A holder tracks the parts of a job across the owners of several cells

  Background:
    Given a job of 4 tasks whose home cell is "north"

  Scenario: A job ends when all its parts have ended
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "north" ends part "0"
    Then there is no answer yet
    When the owner of "south" ends part "1"
    Then the holder answers "complete"

  Scenario: A redirected part is submitted with its own tasks only
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    Then part "1" was last submitted to "south" with the tasks "0.2, 0.3"

  Scenario: A redirect that is received twice moves the tasks once
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    Then part "1" was submitted 1 times

  Scenario: A part that another cell refuses returns to the home cell, where it can't be refused
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" refuses part "1"
    Then part "1" was last submitted to "north" with the tasks "0.2, 0.3"
    And part "1" was submitted as one that can't be refused

  Scenario: A job whose only part is refused by the home cell is refused
    When the owner of "north" refuses part "0"
    Then the holder answers "refused"

  Scenario: A job that was redirected entirely and is refused by the other cell returns to the home cell before it is refused
    When the owner of "north" redirects the tasks "0.0, 0.1, 0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" refuses part "1"
    Then part "1" was last submitted to "north" with the tasks "0.0, 0.1, 0.2, 0.3"
    When the owner of "north" refuses part "1"
    Then the holder answers "refused"

  Scenario: A job that was redirected entirely can still be refused by the other cell
    When the owner of "north" redirects the tasks "0.0, 0.1, 0.2, 0.3" of part "0" to "south", which become part "1"
    Then part "1" was submitted as one that can be refused

  Scenario: A job of which a part has run is not refused even if the update that reports its start was lost
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" ends part "1"
    And the owner of "north" refuses part "0"
    Then there is no answer yet
    And part "0" was submitted as one that can't be refused

  Scenario: A part that is refused although it can't be ends the job with an unknown outcome instead of being submitted again
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" refuses part "1"
    And the owner of "north" refuses part "1"
    Then the outcome is unknown
    And part "1" was submitted 2 times

  Scenario: The loss of one owner reassigns only its part
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the task "0.2" of part "1" succeeds
    And the owner of "south" is lost
    Then part "1" was last submitted to "south" with the tasks "0.3"
    And part "0" was submitted 1 times

  Scenario: A part whose owner is replaced is submitted with the token of the lost owner
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" is lost
    Then part "1" was last submitted to "south" with the highest token 1

  Scenario: A part that moves from a cell without an owner is submitted without that cell's token, which the endpoints of the other cell never received
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" is lost, and no other instance claims the cell
    Then part "1" was last submitted to "north" with the highest token 0

  Scenario: A part that no owner has had is submitted as one without earlier runs
    Then part "0" was last submitted to "north" as one without earlier runs

  # Guards against TWICE: the next owner wasn't told until when the former one's runs may go on.
  Scenario: A part whose owner is lost is submitted with the time after which its runs have ended
    Given what the owner of "north" has started may run for 60000 ms
    When the owner of "north" is lost
    Then part "0" was last submitted to "north" as one whose earlier runs have ended after 60000 ms

  # The same, for a cell whose endpoints no fencing token of the former owner's cell reaches.
  Scenario: A part that moves from a cell without an owner is submitted with the time after which its runs have ended there
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    Given what the owner of "south" has started may run for 60000 ms
    When the owner of "south" is lost, and no other instance claims the cell
    Then part "1" was last submitted to "north" as one whose earlier runs have ended after 60000 ms

  # The same, for the runs of an owner that was lost before the last one.
  Scenario: A part that lost two owners is submitted with the time after which the runs of both have ended
    Given what the owner of "north" has started may run for 60000 ms
    When the owner of "north" is lost
    And what the owner of "north" has started may run for 100 ms
    And the owner of "north" is lost again
    Then part "0" was last submitted to "north" as one whose earlier runs have ended after 60000 ms

  # The same, for tasks that the next owner redirects.
  Scenario: Tasks that are redirected keep the time after which the runs of a lost owner have ended
    Given what the owner of "north" has started may run for 60000 ms
    When the owner of "north" is lost
    And the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    Then part "1" was last submitted to "south" as one whose earlier runs have ended after 60000 ms

  Scenario: An owner that has dropped a part knows its own runs when it gets the part again
    Given what the owner of "north" has started may run for 60000 ms
    When the owner of "north" has dropped part "0", in which the task "0.0" succeeded, after a start
    Then part "0" was last submitted to "north" as one without earlier runs

  # Guards against TWICE: the stops of a part that its owner has dropped may be on their way when the cell changes its owner.
  Scenario: A part that its owner dropped after a start is submitted to the next owner with the time after which its runs have ended
    Given what the owner of "north" has started may run for 60000 ms
    When the owner of "north" has dropped part "0", in which the task "0.0" succeeded, after a start
    And what the owner of "north" has started may run for 100 ms
    And the owner of "north" is lost
    Then part "0" was last submitted to "north" as one whose earlier runs have ended after 60000 ms

  Scenario: A part that fails ends the job, and the other parts are cancelled
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" fails part "1"
    Then the holder answers "failed"
    And part "0" was cancelled

  Scenario: All parts are cancelled when the caller disconnects
    When the owner of "north" redirects the tasks "0.2, 0.3" of part "0" to "south", which become part "1"
    And the caller disconnects
    Then part "0" was cancelled
    And part "1" was cancelled

  Scenario: A refusal that is read after its part went to the home cell does not refuse the job there
    When the owner of "north" redirects the tasks "0.0, 0.1, 0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" refuses part "1" twice at once
    Then there is no answer yet
    And part "1" was last submitted to "north" with the tasks "0.0, 0.1, 0.2, 0.3"

  Scenario: An end does not complete tasks that were redirected by a message that the holder missed
    When the owner of "north" ends part "0", after a redirect of the tasks "0.2, 0.3" to "south" that was lost
    Then there is no answer yet
    And part "1" was last submitted to "south" with the tasks "0.2, 0.3"
    When the owner of "south" ends part "1"
    Then the holder answers "complete"

  Scenario: An end of an earlier assignment does not end the present one
    When the owner of "north" is lost
    And the owner of "north" ends part "0" as it was first assigned
    Then there is no answer yet
    And part "0" was submitted 2 times

  Scenario: A part that its owner dropped is submitted as one that can't be refused if its tasks had started
    When the owner of "north" has dropped part "0", in which the task "0.0" succeeded, after a start
    Then part "0" was last submitted to "north" with the tasks "0.1, 0.2, 0.3"
    And part "0" was submitted as one that can't be refused
    When the owner of "north" refuses part "0"
    Then the outcome is unknown

  Scenario: A part that its owner dropped can still be refused if none of its tasks had started
    When the owner of "north" has dropped part "0" before any start
    And the owner of "north" refuses part "0"
    Then the holder answers "refused"

  Scenario: A job that its caller submitted again elsewhere is given up without a cancel
    When the owner of "north" gives part "0" to another holder
    Then the outcome is unknown
    And part "0" was not cancelled

  Scenario: A part is not submitted once the caller has left
    When the caller has left, which the parts have not read yet
    And the owner of "north" is lost
    Then part "0" was submitted 1 times

  # Guards against TWICE: a holder that stood still submitted a part again to an owner that it heard again, for a caller that had left.
  Scenario: A part is not submitted again on a new stream once the caller has left
    When the caller has left, which the parts have not read yet
    And a stream to the owner of "north" opens again
    Then part "0" was submitted 1 times

  # Guards against TWICE: the cancel waited until arrivals were read, while the holder went on to confirm the owner's frames.
  Scenario: A part is cancelled at once when the caller disconnects while the part waits to be submitted again
    When arrivals from callers take long to read
    And a stream to the owner of "north" opens again
    And the caller disconnects
    Then part "0" was cancelled
    When arrivals from callers have been read
    Then part "0" was submitted 1 times

  Scenario: A part is submitted again on a new stream while the caller waits
    When a stream to the owner of "north" opens again
    Then part "0" was submitted 2 times

  Scenario: An end that lists all tasks as redirected does not keep the other cell from refusing them
    When the owner of "north" ends part "0", after a redirect of the tasks "0.0, 0.1, 0.2, 0.3" to "south" that was lost
    Then part "1" was submitted as one that can be refused

  # Guards against 429 for a job that has run for an earlier call of its caller.
  Scenario: A job that its home cell refuses as one that may have run has an unknown outcome
    When the owner of "north" refuses part "0", which may have run
    Then the outcome is unknown
    And part "0" was submitted 1 times

  Scenario: A part that another cell refuses as one that may have run returns to the home cell, where it can't be refused
    When the owner of "north" redirects the tasks "0.0, 0.1, 0.2, 0.3" of part "0" to "south", which become part "1"
    And the owner of "south" refuses part "1", which may have run
    Then part "1" was last submitted to "north" with the tasks "0.0, 0.1, 0.2, 0.3"
    And part "1" was submitted as one that can't be refused

  # Guards against REFUSED: the job may have started at the owner that was lost.
  Scenario: A job whose owner is lost while no cell has an owner is not refused
    When the owner of "north" is lost, and no other instance claims the cell
    Then the outcome is unknown
