Feature: No task starts while a run of it goes on that no job of the cell waits for

  Background:
    Given 2 endpoints with room for 1 task

  Scenario: A job that is submitted again while its runs are being stopped starts only once they have ended
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And the holder "first" is lost
    And the job is submitted again by "second"
    And the endpoints run for 1500 ms
    Then the task ran 2 times, never twice at the same time

  Scenario: A run whose stop gets no answer ends with its lease, which no poll extends
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And the holder "first" is lost
    And the endpoints run for 1100 ms
    Then the first job runs nowhere

  Scenario: A run whose stop gets no answer ends with its lease, which the start of another task does not extend
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And the holder "first" is lost
    And the endpoints run for 500 ms
    And another job of 1 task is submitted by "second"
    And the endpoints run for 600 ms
    Then the first job runs nowhere

  Scenario: A job that its caller submits again to the next owner adopts the run that goes on
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And another owner takes over
    And the job is submitted again by "second"
    And the endpoints run for 1000 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A job that its caller submits again before the first polls of the next owner adopts the run that goes on
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And another owner takes over, and the job is submitted to it at once by "second"
    And the endpoints run for 1000 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A job that its caller submits again to the next owner waits for the first report of each endpoint
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoint of the run answers 60 ms late
    And another owner takes over, and the job is submitted to it at once by "second"
    And the endpoints run for 1000 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: Leases are not extended for a run of an earlier owner that is not stopped yet
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And another job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And another owner takes over
    And the other job is submitted by "second" as one that an earlier owner may have started
    And the endpoints run for 1200 ms
    Then the first job runs nowhere

  Scenario: The runs of a silent holder end with the lease although its loss is not noticed
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints run for 2000 ms
    And the holder "first" falls silent
    And the endpoints run for 1100 ms
    Then the first job runs nowhere

  # The lease of an endpoint covers all its runs and never shortens. Ends that no stop brings about stand for an owner that stands still.
  Scenario: A task of a holder that was heard some time ago does not run on with the longer lease of a run beside it
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When the holder "first" falls silent
    And another job of 1 task is submitted by "second"
    And the endpoints run for 600 ms
    And a job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And the endpoints run for 440 ms
    Then the first job runs nowhere

  Scenario: A task of a holder that was heard some time ago starts beside another one as soon as its holder is heard
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When the holder "first" falls silent
    And another job of 1 task is submitted by "second"
    And the endpoints run for 600 ms
    And a job of 1 task is submitted by "first"
    Then the first job runs nowhere
    When the holder "first" is heard again
    Then the task ran 1 times, never twice at the same time

  Scenario: A task of a holder that was heard some time ago starts at once where no other runs
    Given 2 endpoints with room for 2 tasks
    And an owner of these endpoints
    When the holder "first" falls silent
    And another job of 1 task is submitted by "second"
    And the endpoints run for 600 ms
    And a job of 1 task is submitted by "first"
    Then the task ran 1 times, never twice at the same time

  Scenario: A task of a holder that was heard some time ago does not run on with the longer lease of a run that was placed with it
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When the endpoints run for 1500 ms
    And the holder "first" falls silent
    And the endpoints run for 600 ms
    And another job is submitted by "second" and the first one by "first" at the same moment
    And the endpoints carry out no stops
    And the endpoints run for 720 ms
    Then the first job runs nowhere

  # Guards against TWICE: the owner doesn't know the leases that a rival has sent.
  Scenario: A task of a holder that was heard some time ago does not run on with the lease of a rival owner
    Given 1 endpoint with room for 1 task
    And an owner of these endpoints
    When the holder "second" falls silent
    And the endpoints run for 500 ms
    And a rival owner extends the lease of each endpoint
    And the owner raises its token
    And the endpoints run for 60 ms
    And a third job of 1 task is submitted by "second"
    And the endpoints carry out no stops
    And the endpoints run for 720 ms
    Then the third job runs nowhere

  # Guards against TWICE: the owner extended the lease of a run that a rival had started, since its claim was old enough, before any poll under its raised token had told what runs there.
  Scenario: An owner that has raised its token extends no lease before it knows what a rival has started
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When another job of 1 task is submitted by "second"
    And the holder "second" falls silent
    And the endpoints run for 600 ms
    And the endpoints carry out no stops
    And a rival owner starts the first job on the first endpoint with a lease of 400 ms
    And the owner raises its token
    And the holder "second" is heard again
    And the endpoints run for 500 ms
    Then the first job runs nowhere

  # Guards against TWICE: an owner that is behind passes over the time in which it stops the runs of a silent holder.
  Scenario: A task of a silent holder is stopped by an owner that was behind while its time ran out
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When the holder "first" falls silent
    And the endpoints run for 200 ms
    And another job of 1 task is submitted by "second"
    And a job of 1 task is submitted by "first"
    And the endpoints run for 540 ms
    And the owner stands still for 240 ms
    And the endpoints run for 110 ms
    Then the task ran 1 times, never twice at the same time
    And the first job runs nowhere

  Scenario: A run beside one of a silent holder goes on once the loss of the holder is noticed
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When another job of 1 task is submitted by "second"
    And a job of 1 task is submitted by "first"
    And the holder "first" falls silent
    And the endpoints run for 700 ms
    And the holder "first" is lost
    And the endpoints run for 1500 ms
    Then the first job runs nowhere
    And the other job has run all the while

  Scenario: No task of a silent holder is started
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And another job of 1 task is submitted by "third"
    And a third job of 1 task is submitted by "second"
    And the holder "second" falls silent
    And the endpoints run for 750 ms
    And the holder "third" is lost
    And the endpoints run for 1000 ms
    Then the third job never ran

  Scenario: No task of a job starts that reaches its owner long after its holder sent it
    Given an owner of these endpoints
    When the holder "second" falls silent
    And the endpoints run for 1500 ms
    And a third job of 1 task is submitted by "second"
    And the endpoints run for 1000 ms
    Then the third job never ran

  Scenario: An owner that raises its token starts nothing beside a rival's runs before it has polled them
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When a rival owner starts the first job on each endpoint
    And the endpoints carry out no stops
    And the endpoints run for 250 ms
    And the owner raises its token
    And a third job of 1 task is submitted by "second"
    And the endpoints run for 900 ms
    Then the first job runs nowhere

  Scenario: A run that starts just after a poll of an idle endpoint was sent keeps its lease, also if answers are late
    Given an owner of these endpoints
    When the endpoints run for 1007 ms
    And a job of 1 task is submitted by "first"
    And the endpoint of the run answers 60 ms late
    And the endpoints run for 3000 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A task that runs as part of one assignment is not started beside it for another part of its job
    Given an owner of these endpoints
    When the second task of the job is submitted as part "1" by "first"
    And the second task of the job is submitted as part "2" by "second"
    And the endpoints run for 1500 ms
    Then the task ran 2 times, never twice at the same time

  Scenario: A task that waits as part of one assignment is not started twice when another part of its job has it too
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When another job of 1 task is submitted by "third"
    And a third job of 1 task is submitted by "third"
    And the second task of the job is submitted as part "1" by "first"
    And the second task of the job is submitted as part "2" by "second"
    And the holder "third" is lost
    And the endpoints run for 1500 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A task whose last run was numbered higher by an earlier assignment is started again on the same endpoint
    Given 1 endpoint with room for 1 task
    And an owner of these endpoints
    When the job is submitted by "first" as one whose runs by an earlier owner have ended
    And the endpoints run for 500 ms
    And the job is submitted again by "second"
    And the endpoints run for 1000 ms
    Then the task ran 2 times, never twice at the same time

  Scenario: A job that comes again in a later generation while its runs are being stopped adopts none of them
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And the holder "first" is lost
    And the job is submitted by "second" as one that an earlier owner may have started
    And the endpoints run for 1500 ms
    Then the task ran 2 times, never twice at the same time

  Scenario: An owner that claims its cell anew takes over a run that it was stopping rather than starting its task beside it
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints carry out no stops
    And the holder "first" is lost
    And the same owner claims its cell anew
    And the job is submitted again by "second"
    And the endpoints run for 2500 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A job whose caller sends it again 1300 ms after its holder fell silent does not run beside a run at an endpoint that the next owner does not reach
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints run for 2000 ms
    And the holder "first" falls silent
    And the endpoints run for 950 ms
    And the first endpoint falls silent, and carries out starts 1000 ms late
    And the endpoints run for 330 ms
    And another owner takes over
    And the job is submitted again by "second"
    And the endpoints run for 1000 ms
    Then the task ran 2 times, never twice at the same time

  Scenario: A job that an earlier owner may have started waits for its runs also when another holder submits it as new
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the first endpoint falls silent, and carries out starts 5000 ms late
    And another owner takes over
    And the job is submitted by "first" as one that an earlier owner may have started
    And the endpoints run for 200 ms
    And the job is submitted again by "second"
    And the endpoints run for 2500 ms
    Then the task ran 2 times, never twice at the same time

  Scenario: A run beside one of a silent holder goes on if the loss of the holder is noticed after the lease
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When another job of 1 task is submitted by "second"
    And a job of 1 task is submitted by "first"
    And the holder "first" falls silent
    And the endpoints run for 1250 ms
    And the holder "first" is lost
    And the endpoints run for 1500 ms
    Then the first job runs nowhere
    And the other job has run all the while

  # Guards against numbers of attempts that run into those of the next generation: an owner that was fenced started its task again every 2 to 5 ms.
  Scenario: An owner that an endpoint rejects starts nothing more there before it has polled it under a higher token
    Given 1 endpoint with room for 2 tasks
    And an owner of these endpoints
    When the endpoints accept only a rival owner
    And a job of 1 task is submitted by "first"
    And the endpoints run for 1600 ms
    Then the endpoint has rejected 1 start
    When the endpoints accept this owner again, which raises its token
    Then the task ran 1 times, never twice at the same time

  # Guards against TWICE: leases that a rival extends were taken for expired.
  Scenario: A run at an endpoint that accepts only a rival owner does not count as lost, since the rival may extend its lease
    Given an owner of these endpoints
    When a job of 1 task is submitted by "first"
    And the endpoints run for 2000 ms
    And the endpoint of the run accepts only a rival owner
    And the endpoints run for 1500 ms
    Then the task ran 1 times, never twice at the same time

  # Guards against TWICE: a rival that had raised its token started a task after this owner's last poll there, and the holder assigned it here.
  Scenario: A job that an earlier owner may have started starts only where that owner's runs are known since its arrival
    Given an owner of these endpoints
    When a rival owner starts the first job on the last endpoint
    And the endpoint of the run accepts only a rival owner
    And the job is submitted by "first" as one that an earlier owner may have started
    And the endpoints run for 300 ms
    Then the task ran 1 times, never twice at the same time
