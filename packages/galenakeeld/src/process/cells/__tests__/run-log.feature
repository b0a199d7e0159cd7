Feature: The log of a cell tells the runs of an earlier owner from its own

  Scenario: A run that is adopted is logged with its attempt and the generation of the job
    Given a cell with the token 7 whose endpoint runs attempt 3 of the task "0.0"
    When the job of that task is submitted in generation 1
    Then "task-adopted" is logged for "0.0" with attempt 3, generation 1 and token 7

  Scenario: A run of a job that nobody submits again is logged when it is stopped, with the time since the claim
    Given a cell with the token 7 whose endpoint runs attempt 3 of the task "0.0"
    When the cell waits for 600 ms
    Then "stray-stopped" is logged for "0.0" with attempt 3, from 350 to 600 ms after the claim

  Scenario: A start of a task that may have been started before has an event of its own
    Given a cell with the token 7 whose endpoint runs nothing
    When the job of the task "0.0" is submitted in generation 2
    And the cell waits for 600 ms
    Then "task-started-again" is logged for "0.0" with attempt 2001, generation 2 and token 7
    And "task-started" is not logged

  Scenario: The first start of a task is logged with its token
    Given a cell with the token 7 whose endpoint runs nothing
    When the job of the task "0.0" is submitted in generation 0
    And the cell waits for 100 ms
    Then "task-started" is logged for "0.0" with attempt 1, generation 0 and token 7
    And the cell shows 1 active tasks, 0 waiting tasks, 1 of 1 endpoints reachable, and the run "0.0" with attempt 1
