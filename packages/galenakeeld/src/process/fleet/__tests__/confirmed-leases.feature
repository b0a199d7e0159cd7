Feature: An owner grants leases by what holders confirm

  Background:
    Given an owner with 1 endpoint with room for 1 task, and a holder that answers requests after 20 ms

  Scenario: Heartbeats of 400 ms in both directions keep a run going
    When the holder sends frames each 400 ms that confirm frames which the owner sent 390 ms before
    And a job is submitted
    And the owner runs for 10000 ms
    Then the job has run all the while since its start

  Scenario: A job of a holder that has confirmed nothing for long starts after a round trip
    Given the owner runs for 3000 ms
    When a job is submitted
    And the owner runs for 30 ms
    Then the job runs

  Scenario: A run that starts during an idle poll with a short lease gets a longer one as soon as the holder confirms
    Given the owner runs for 3000 ms
    And the holder sends a frame that confirms one which the owner sent 650 ms before
    When a job is submitted
    And the owner runs for 2000 ms
    Then the job has run all the while since its start

  Scenario: A run ends with its lease although its holder is heard, if the holder confirms nothing any more
    Given the holder sends frames each 400 ms that confirm frames which the owner sent 10 ms before
    When a job is submitted
    And the owner runs for 2000 ms
    And the holder no longer hears the owner, but the owner hears the holder
    And the owner runs for 1100 ms
    Then the job runs nowhere

  Scenario: A suspended owner starts nothing before a holder has confirmed that it still hears it
    Given the holder sends frames each 400 ms that confirm frames which the owner sent 10 ms before
    When a job is submitted
    And a second job is submitted, which waits
    And the holder no longer hears the owner, and the owner is suspended for 2000 ms
    And the owner runs for 3000 ms
    Then the job runs nowhere
    And the second job never ran
    When the holder hears the owner again
    And the owner runs for 500 ms
    Then one of the jobs runs

  Scenario: An owner that was suspended briefly continues after a round trip
    Given the holder sends frames each 400 ms that confirm frames which the owner sent 10 ms before
    When a job is submitted
    And the owner runs for 1000 ms
    And the owner is suspended for 300 ms
    And the owner runs for 2000 ms
    Then the job has run all the while since its start
