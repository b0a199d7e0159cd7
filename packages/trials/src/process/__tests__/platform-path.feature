Feature: Jobs run on the platform's endpoints, under leases and fencing tokens

  Background:
    Given daemons on the platform in the zones "north" and "south", 2 in each, with 2 endpoints in each

  Scenario: A job of several steps runs each task once and in order
    When a job of 3 tasks of 60 ms, followed by 2 like tasks, is submitted to daemon 1
    Then the answer is "complete"
    And every task ran once
    And no task of the second step began before the first step had ended

  Scenario: A caller that leaves has its tasks stopped
    When a job of 2 tasks of 5000 ms is submitted to daemon 1 by a caller that leaves after 300 ms
    Then within 400 ms nothing runs

  Scenario: The tasks of an endpoint that crashes run elsewhere
    When a job of 4 tasks of 400 ms is submitted to daemon 1
    And an endpoint with tasks crashes after 150 ms
    Then the answer is "complete"
    And no task ran twice at the same time

  Scenario: The tasks of an endpoint that falls silent run elsewhere once its leases have ended
    When a job of 4 tasks of 300 ms is submitted to daemon 1
    And an endpoint with tasks falls silent after 100 ms
    Then the answer is "complete"
    And no task ran twice at the same time

  Scenario: Jobs outlive the daemon that orders their endpoints
    When 6 jobs of 2 tasks of 900 ms are submitted to daemon 2
    And daemon 1 is killed after 200 ms
    Then all answers are "complete"
    And no task ran twice at the same time

  Scenario: A job that is wider than its zone runs in both zones at once
    When a job of 7 tasks of 600 ms is submitted to daemon 1
    Then the answer is "complete" within 1100 ms
    And every task ran once
    And tasks ran in "north" and in "south"

  Scenario: A job that runs in two zones outlives the owner of the other zone
    When 2 jobs of 7 tasks of 900 ms are submitted to daemon 1
    And daemon 3 is killed after 300 ms
    Then all answers are "complete"
    And no task ran twice at the same time

  Scenario: A caller that leaves has its tasks stopped in both zones
    When a job of 7 tasks of 5000 ms is submitted to daemon 1 by a caller that leaves after 400 ms
    Then within 400 ms nothing runs

  Scenario: Tasks of a killed holder stop in both zones before its callers come again
    When a job of 7 tasks of 4000 ms is submitted to daemon 2
    And daemon 2 is killed after 400 ms
    Then within 1300 ms nothing runs

  Scenario: Tasks of a killed holder stop before its callers come again
    When a job of 2 tasks of 4000 ms is submitted to daemon 2
    And daemon 2 is killed after 300 ms
    Then within 1200 ms nothing runs

  Scenario: A daemon that is told to leave answers what it holds
    When 4 jobs of 2 tasks of 1500 ms are submitted to daemon 1
    And daemon 1 is told to leave after 200 ms
    Then all answers are "complete"
    And every task ran once
    And daemon 1 ends with code 0

  Scenario: A daemon that is about to end takes no job that it may not see the end of
    When a job of 2 tasks of 4500 ms is submitted to daemon 1
    And daemon 1 is told to leave after 200 ms
    Then a job of 1 tasks of 50 ms that is submitted to daemon 1 after 2000 ms is answered with 200
    And a job of 1 tasks of 50 ms that is submitted to daemon 1 after 1300 ms is answered with 503
    And all answers are "complete"

  Scenario: Jobs go on while the store is away
    When the store falls silent
    And a job of 3 tasks of 60 ms is submitted to daemon 3
    Then the answer is "complete"
    And every task ran once

  Scenario: A daemon takes a cell over while the store is away
    When the store falls silent
    And 2 jobs of 2 tasks of 600 ms are submitted to daemon 2
    And daemon 1 is killed after 200 ms
    And a job of 2 tasks of 60 ms is submitted to daemon 2
    Then all answers are "complete"
    And no task ran twice at the same time

  Scenario: All daemons are killed at once and come back
    When 2 jobs of 2 tasks of 600 ms are submitted to daemon 1
    And all daemons are killed after 150 ms and started again
    And the same jobs are submitted again to daemon 3
    Then all answers are "complete"
    And no task ran twice at the same time

  Scenario: Starts that are carried out late run elsewhere, and once
    When the first endpoint of "north" carries starts out late
    And a job of 2 tasks of 100 ms is submitted to daemon 1
    Then the answer is "complete" within 500 ms
    And no task ran twice at the same time

  Scenario: Looks without answers hide the ends of tasks for a short time only
    When the endpoints of "north" leave each third look without an answer
    Then 8 jobs of 1 tasks of 200 ms, one after the other at daemon 1, each end within 700 ms

  Scenario: Starts whose answers are lost run once
    When the endpoints of "north" lose the answers to starts
    And a job of 2 tasks of 600 ms is submitted to daemon 1
    Then the answer is "complete"
    And no task ran twice at the same time

  Scenario: A task that fails as often as its queue allows fails its job
    When all endpoints fail what they start
    And a job of 1 tasks of 50 ms is submitted to daemon 1
    Then the answer is "failed"
    And the task ran 2 times

  Scenario: Endpoints that fail what they start are left alone
    When the first endpoint of "north" fails what it starts
    And 8 jobs of 1 tasks of 50 ms are submitted to daemon 1
    Then all answers are "complete"
    And the first endpoint of "north" ran at most 3 tasks

  Scenario: A task that stands still runs elsewhere
    When the first endpoint of "north" stalls
    And 3 jobs of 1 tasks of 100 ms are submitted to daemon 1
    Then all answers are "complete"
    And no task ran twice at the same time

  Scenario: A draining endpoint gets no task
    When the first endpoint of "north" drains
    And the daemons have 700 ms to read the list
    And 4 jobs of 2 tasks of 50 ms are submitted to daemon 1
    Then all answers are "complete"
    And the first endpoint of "north" ran at most 0 tasks

  Scenario: Entries of another writer disturb nothing
    When the store holds an entry of an endpoint that can't be read
    And the daemons have 700 ms to read the list
    And a job of 3 tasks of 60 ms is submitted to daemon 1
    Then the answer is "complete"

  Scenario Outline: Bad input gets a clear answer
    When the body '<body>' is submitted to daemon 1 under "<identifier>"
    Then the status is <status>

    Examples:
      | identifier       | body                                                                      | status |
      | 5c0e7a21d94b36f8 | no JSON                                                                   | 400    |
      | 5c0e7a21d94b36f8 | []                                                                        | 400    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","BestEffort":true,"Phases":[{"Cpu":500}]}                     | 400    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","BestEffort":true,"Phases":[{"Count":-1,"Cpu":500}]}          | 400    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","BestEffort":true,"Phases":[{"Count":1,"After":[0]}]}         | 400    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","BestEffort":true,"Phases":[]}                                | 400    |
      | nothexadecimal   | {"Spec":"x","BestEffort":true,"Phases":[{"Count":1}]}                     | 400    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","Phases":[{"Count":1,"Cpu":500}]}                             | 503    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","BestEffort":true,"Phases":[{"Count":2,"Gang":true}]}         | 503    |
      | 5c0e7a21d94b36f8 | {"Spec":"x","BestEffort":true,"Phases":[{"Count":1,"Cpu":500000}]}        | 503    |

  Scenario: Paths without a queue are not found
    When a job is submitted to daemon 1 on a path without a queue
    Then the status is 404

  Scenario: A queue that operators add is served by all daemons within 2 s
    When operators add a queue with the path "/added/"
    Then within 2000 ms all daemons serve "/added/"
