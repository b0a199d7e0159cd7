Feature: A run is lost with an incarnation of an endpoint only if that incarnation had it

  Background:
    Given 2 endpoints with room for 1 task
    And an owner of these endpoints

  Scenario: A run that the next incarnation of its endpoint has accepted is not started elsewhere
    When the first endpoint restarts under its identifier
    And a job of 1 task is submitted by "first"
    And the endpoints run for 3000 ms
    Then the run is at the restarted endpoint, and no other ran

  Scenario: A run that the next incarnation of its endpoint has accepted goes on once the platform lists that incarnation
    When the first endpoint restarts under its identifier
    And a job of 1 task is submitted by "first"
    And the endpoints run for 500 ms
    And the platform lists the restarted endpoint
    And the endpoints run for 4000 ms
    Then the run is at the restarted endpoint, and no other ran

  Scenario: A run that ended with its endpoint starts elsewhere at once when the next incarnation answers
    When a job of 1 task is submitted by "first"
    And the endpoints run for 2000 ms
    And the endpoint of the run restarts under its identifier
    And the endpoints run for 400 ms
    Then the task runs at another endpoint
    And the task ran 2 times, never twice at the same time

  Scenario: A run that ended with its endpoint just after its start starts elsewhere at once when the next incarnation answers
    When the endpoints run for 1020 ms
    And a job of 1 task is submitted by "first"
    And the endpoint of the run restarts under its identifier
    And the endpoints run for 1700 ms
    Then the task runs at another endpoint
    And the task ran 2 times, never twice at the same time

  Scenario: A start without an answer that the next incarnation would carry out late runs there or elsewhere, not both
    When the endpoints run for 800 ms
    And the first endpoint falls silent, and carries out starts 1500 ms late
    And a job of 1 task is submitted by "first"
    And the first endpoint restarts under its identifier
    And the endpoints carry out no stops
    And the endpoints run for 275 ms
    And that endpoint is heard again
    And the endpoints run for 125 ms
    And the endpoints carry out stops again
    And the endpoints run for 400 ms
    Then the task runs at another endpoint
    When the endpoints run for 1500 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A next owner that knows the earlier incarnation only adopts the run that the next one has accepted
    When the first endpoint restarts under its identifier
    And a job of 1 task is submitted by "first"
    And another owner takes over
    And the job is submitted again by "second"
    And the endpoints run for 3000 ms
    Then the run is at the restarted endpoint, and no other ran

  Scenario: A restarted endpoint gets tasks once the platform lists it
    When the first endpoint restarts under its identifier
    And the endpoints run for 500 ms
    And the platform lists the restarted endpoint
    And the endpoints run for 50 ms
    And a job of 1 task is submitted by "first"
    And another job of 1 task is submitted by "second"
    Then 2 endpoints have a run

  Scenario: A report that a newer one has overtaken does not hide the run of a rival owner
    When the endpoints run for 1000 ms
    And the answers to the polls of the first endpoint are 150 ms late
    And the endpoints run for 1500 ms
    And the answers to the polls of the first endpoint are 0 ms late
    And the endpoints run for 20 ms
    And a rival owner starts the first job on the first endpoint for the second time
    And the owner raises its token
    And the endpoints run for 160 ms
    And the job is submitted again by "second"
    And the endpoints run for 100 ms
    Then the task ran 1 times, never twice at the same time

  Scenario: A restarted endpoint that the platform lists is not used as if there were two
    When the first endpoint restarts under its identifier
    And the platform lists the restarted endpoint
    And the endpoints run for 50 ms
    And a job of 1 task is submitted by "first"
    And another job of 1 task is submitted by "second"
    And a third job of 1 task is submitted by "second"
    And the endpoints run for 1000 ms
    Then the third job never ran

  Scenario: A report that a newer one has overtaken does not bring back a run that has ended
    When a job of 1 task is submitted by "first"
    And the answers to the polls of the first endpoint are 150 ms late
    And the endpoints run for 385 ms
    And the answers to the polls of the first endpoint are 0 ms late
    And the holder "first" is lost
    And the endpoints run for 160 ms
    And another job of 1 task is submitted by "second"
    And a third job of 1 task is submitted by "second"
    Then the third job runs
