Feature: A stream between daemons that goes silent without a reset is opened again

  Scenario: A job whose holder sends it to the owner on a silent stream is answered
    Given 4 daemons of one zone with 6 endpoints, and a job of 3 tasks of 300 ms at a daemon that doesn't own the cell
    When the streams that the owner receives go silent, and the job is submitted
    Then the job is answered as complete within 4500 ms
    And no task ran twice at the same time
