Feature: A cell redirects tasks to other cells and resends updates that holders missed

  Background:
    Given a cell with 2 slots, and the cell "south" with capacity for 4 tasks

  Scenario: Tasks that find no capacity are redirected to a cell that has some
    When a job of 4 tasks is submitted
    Then 2 tasks were started here
    And 2 tasks went to "south"

  Scenario: A holder that submits the part again receives the same updates again
    When a job of 4 tasks is submitted
    And the job is submitted again
    Then 2 tasks were started here
    And the holder was notified 2 times that 2 tasks went to "south"

  Scenario: A part that was redirected several times is redirected no further
    When a job of 4 tasks that was moved 4 times is submitted
    Then 2 tasks were started here
    And no task went elsewhere

  Scenario: A job of steps that wait for each other stays together
    When a job of 2 tasks followed by 2 tasks is submitted
    Then no task went elsewhere

  Scenario: A job that needs a label stays where its owner knows the labels
    When a job of 4 tasks that requires the label "a" is submitted
    Then 2 tasks were started here
    And no task went elsewhere

  Scenario: No more tasks of a step run on an endpoint than the step allows, also when it is placed again
    When a job of 6 tasks with at most 1 on one endpoint is submitted
    And the cell runs for 150 ms
    Then 1 tasks were started here

  # Guards against TWICE: the owner judged by its own list of endpoints and the time since its claim that an earlier owner's runs were known.
  Scenario: Tasks that an earlier owner may have started start no sooner than its runs have ended, although all endpoints have reported
    When a job of 2 tasks is submitted, whose runs by an earlier owner have ended after 700 ms
    And the cell runs for 600 ms
    Then no task was started here
    When the cell runs for 100 ms
    Then 2 tasks were started here

  # Guards against TWICE: a second holder of a job may have lost an owner later than the first.
  Scenario: Tasks that a second holder takes over start no sooner than the runs have ended that it knows of
    When a job of 2 tasks is submitted, whose runs by an earlier owner have ended after 300 ms
    And the job is submitted by "other" in a new assignment, whose runs by an earlier owner have ended after 700 ms
    And the cell runs for 600 ms
    Then no task was started here
    When the cell runs for 100 ms
    Then 2 tasks were started here

  # The same, where the second holder has lost no owner, or another number of them.
  Scenario: Tasks that a second holder takes over start no sooner than the runs have ended that the first one knew of
    When a job of 2 tasks is submitted, whose runs by an earlier owner have ended after 700 ms
    And the job is submitted by "other" in a new assignment, whose runs by an earlier owner have ended after 0 ms
    And the cell runs for 600 ms
    Then no task was started here
    When the cell runs for 100 ms
    Then 2 tasks were started here

  Scenario: Tasks of a new order that replaces an earlier one start no sooner than the runs have ended that the earlier one named
    When a job of 2 tasks is submitted, whose runs by an earlier owner have ended after 700 ms
    And the job is submitted by "other" as one that no owner has had
    And the cell runs for 550 ms
    Then no task was started here
    When the cell runs for 150 ms
    Then 2 tasks were started here

  Scenario: Tasks of an earlier owner whose runs have ended start at once
    When a job of 2 tasks is submitted, whose runs by an earlier owner have ended after 0 ms
    Then 2 tasks were started here

  Scenario: What an earlier owner may have started waits for the longest time that a run may go on if its order says nothing of these runs
    When a job of 2 tasks that an earlier owner may have started is submitted
    And the cell runs for 1200 ms
    Then no task was started here
    When the cell runs for 1000 ms
    Then 2 tasks were started here

  Scenario: The loss of the holder stops what runs here
    When a job of 4 tasks is submitted
    And the holder is lost
    Then 2 tasks were stopped here

  Scenario: A part that was refused is refused again, although there is room by then
    When a job of 2 tasks that no endpoint fits is submitted
    And an endpoint that fits is listed
    And the job is submitted again
    Then no task was started here
    And the holder was told 2 times that the job is refused

  Scenario: A part that was cancelled is not started by an order that arrives after the cancel
    When a job of 2 tasks is cancelled before its order arrives
    And the job is submitted again
    Then no task was started here

  Scenario: A part that was dropped with its holder is not started again by the same order
    When a job of 2 tasks is submitted
    And the holder is lost
    And the job is submitted again
    And the cell runs for 1500 ms
    Then 2 tasks were started here
    And the holder was told that the part was dropped after a start

  Scenario: A job whose caller submits it again through another instance goes on, and its first holder is told
    When a job of 2 tasks is submitted
    And the job is submitted by "other" in a new assignment
    Then 2 tasks were started here
    And the holder was told that it is superseded
    When the first assignment is cancelled
    Then no task was stopped here
    When the cell runs for 150 ms
    Then 2 tasks were started here
    And "other" was told that the job is complete

  Scenario: A part that its holder assigns anew with fewer tasks does not count as the earlier one
    When a job of 2 tasks is submitted
    And the job without the task "0.0" is submitted by "holder" in a new assignment
    Then 2 tasks were stopped here
    When the cell runs for 1500 ms
    Then the end of the new assignment stands for the task "0.1"

  Scenario: A cancel of an earlier assignment that is sent again does not cancel the present one
    When a job of 2 tasks is submitted
    And the first assignment is cancelled
    And the job is submitted by "holder" in a new assignment
    And the first assignment is cancelled
    And the cell runs for 1500 ms
    Then the end of the new assignment stands for 2 tasks

  Scenario: The end of a part lists the tasks that went elsewhere
    When a job of 4 tasks is submitted
    And the cell runs for 1000 ms
    Then the end lists 2 tasks that went to "south"

  Scenario: An order that is older than what the owner remembers counts as one that may have run
    When a job of 2 tasks that was first assigned 60000 ms ago is submitted
    Then no task was started here
    And the holder was told that the part was dropped after a start

  Scenario: Endpoints that have ended runs of a later generation refuse the run numbers of a job that its caller submits again only a few times
    Given the endpoint has ended run 2003 of each task
    When a job of 2 tasks is submitted
    And the cell runs for 1500 ms
    Then the holder was told that the job is complete

  Scenario: A job whose caller submits it again through another instance starts none of its tasks beside those of an earlier part
    When the part "1" of a job with the tasks "0.0, 0.1" is submitted
    And the job is submitted by "other" in a new assignment as part "0"
    Then 2 tasks were stopped here
    And the holder was told that it is superseded
    When the cell runs for 1500 ms
    Then "other" was told that the job is complete
    And no task was started here while an earlier run of it went on

  Scenario: Parts of one job that share no tasks run beside each other
    When the part "1" of a job with the tasks "0.0" is submitted
    And the part "0" of a job with the tasks "0.1" is submitted
    Then 2 tasks were started here
    And no task was stopped here

  Scenario: A holder that takes a job over learns that redirected tasks came back
    When a job of 4 tasks is submitted
    And the redirected tasks come back as part "1"
    And the job is submitted by "other" in a new assignment
    Then "other" was told that 2 tasks went to "north", and of no other cell

  Scenario: The end that a submission by another holder gets lists redirected tasks that came back as those of this cell
    When a job of 4 tasks is submitted
    And the redirected tasks come back as part "1"
    And the cell runs for 200 ms
    And the job is submitted by "other" in a new assignment
    Then "other" was told that 2 tasks went to "north", and of no other cell

  Scenario: A job that another holder submits while its redirected tasks may still run elsewhere does not start them here
    When a job of 4 tasks is submitted
    And the cell runs for 6000 ms
    And the job is submitted by "other" in a new assignment
    Then "other" was told that 2 tasks went to "south", and of no other cell
    And 2 tasks were started here

  Scenario: The end of a part is repeated to a holder that has another name for the same tasks
    When a job of 4 tasks is submitted
    And the cell runs for 1000 ms
    And the job is submitted by "other" as part "1"
    Then "other" was told that 2 tasks went to "south", and of no other cell
    And 2 tasks were started here

  Scenario: Tasks that come back from another cell are not sent there again by the end that moved them
    When a job of 4 tasks is submitted
    And the cell runs for 1000 ms
    And all tasks come back as part "1"
    And the cell runs for 1000 ms
    Then each of the 4 tasks was started here

  # Guards against TWICE: an owner that was lost and came back sent tasks to another zone that a daemon that owned its cell meanwhile had started.
  Scenario: Tasks that another owner may have started since they were redirected are not sent to another cell by the end that redirected them
    When a job of 4 tasks is submitted
    And the cell runs for 1000 ms
    And the job is submitted by "other" in a new assignment after another owner was lost
    And the cell runs for 1500 ms
    Then "other" was told of no other cell
    And each of the 4 tasks was started here

  Scenario: Redirected tasks of a job that its holder cancels are not started here while they are being stopped elsewhere
    When a job of 4 tasks is submitted
    And the first assignment is cancelled
    And the job is submitted by "other" in a new assignment
    And the cell runs for 900 ms
    Then none of the tasks that went to "south" was started here

  Scenario: An order of tasks that have all succeeded elsewhere is answered
    When a job of 1 tasks is submitted
    And the cell runs for 6000 ms
    And the job without the task "0.0" is submitted by "other" in a new assignment
    Then "other" got an answer that leaves no task open

  # Guards against REFUSED: an owner refused a job that it had started, once its time was over.
  Scenario: A job that has started is not refused when its time is over
    When a job of 2 tasks that run for 8000 ms is submitted
    And the cell runs for 7000 ms
    Then 2 tasks were started here
    And the holder was told 0 times that the job is refused

  # The same, for tasks that may have been started by an earlier owner.
  Scenario: A part that an earlier owner may have started is not refused when its time is over
    When a job of 2 tasks that run for 8000 ms is submitted
    And another job of 2 tasks that an earlier owner may have started is submitted, 5000 ms late
    And the cell runs for 1000 ms
    Then the holder was told 0 times that the job is refused

  # The same, for tasks that other cells may have started.
  Scenario: The rest of a job whose other tasks were redirected is not refused when its time is over
    When a job of 2 tasks that run for 8000 ms is submitted
    And another job of 6 tasks is submitted
    Then 4 tasks went to "south"
    When the cell runs for 6000 ms
    Then the holder was told 0 times that the job is refused

  # Guards against 429 for a job that has run: its owner forgot that an earlier call of the same caller had started it.
  Scenario: A job that ran for an earlier call is refused as one that may have run
    Given another job of 4 tasks is submitted
    And the cell runs for 1000 ms
    When a job of 2 tasks is submitted
    And the holder is lost
    And the cell runs for 500 ms
    And the job is submitted by "other" when its time is over
    Then "other" was told that the job is refused and may have run

  Scenario: A job that never started is refused as one that has not run
    When a job of 2 tasks that no endpoint fits is submitted
    And the job is submitted by "other" when its time is over
    Then "other" was told that the job is refused and has not run
