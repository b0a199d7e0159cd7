Feature: A daemon reports its load each second

  Background:
    Given a daemon whose timer fires each 10 ms, with a cell "north"

  Scenario: The report tells how long the event loop was occupied
    When 40 ms pass with the timer on time
    And the timer fires 400 ms late
    And 600 ms pass with the timer on time
    Then a report shows a maximum loop delay of 400 ms
    And it is worth logging

  Scenario: A delay is reported once
    When the timer fires 400 ms late
    And 1700 ms pass with the timer on time
    Then 2 loads were reported
    And a report shows a maximum loop delay of 0 ms
    And it is not worth logging

  Scenario: The report tells how long arrivals were unread
    When a turn of the event loop takes 700 ms
    And 1000 ms pass with the timer on time
    Then a report shows a longest turn of 700 ms

  Scenario: Processor time, messages and calls count from the last report on
    When 300 ms of processor time are used
    And 3 frames of a heartbeat and another message are sent
    And 1 frames of a heartbeat and another message are received
    And a stream opens and breaks
    And 2 starts and 1 polls are sent to endpoints
    And 1000 ms pass with the timer on time
    Then a report shows 300 ms of processor time, 3 frames with 6 messages and 3 heartbeats sent, and 1 frames received
    And it shows 1 streams opened and 1 broken, 2 starts and 1 polls
    When 1000 ms pass with the timer on time
    Then a report shows 0 ms of processor time, 0 frames with 0 messages and 0 heartbeats sent, and 0 frames received
    And it shows 0 streams opened and 0 broken, 0 starts and 0 polls

  Scenario: Bytes that are sent count by the kind of message, from the last report on
    When 3 frames with a heartbeat of 250 bytes and a message of 40 bytes are sent
    And 1000 ms pass with the timer on time
    Then a report shows 750 bytes of heartbeats and 120 bytes of other messages
    When 1000 ms pass with the timer on time
    Then a report shows 0 bytes of heartbeats and 0 bytes of other messages

  Scenario: Decisions of a cell count from the last report on, and a cell that is claimed anew counts from zero
    When the cell has decided on 5 arrivals in 20 ms
    And 1000 ms pass with the timer on time
    Then a report shows 5 arrivals decided on in 20 ms
    And it is worth logging
    When the cell has decided on 7 arrivals in 50 ms
    And 1000 ms pass with the timer on time
    Then a report shows 2 arrivals decided on in 30 ms
    When the cell is claimed anew
    And the cell has decided on 1 arrivals in 4 ms
    And 1000 ms pass with the timer on time
    Then a report shows 1 arrivals decided on in 4 ms

  Scenario: A daemon that holds jobs reports them
    When the daemon holds 3 jobs
    And 1000 ms pass with the timer on time
    Then it is worth logging

  Scenario: The metrics add up the reports, and carry the names of the fields
    When the cell has decided on 5 arrivals in 20 ms
    And 300 ms of processor time are used
    And 1000 ms pass with the timer on time
    And 200 ms of processor time are used
    And 1000 ms pass with the timer on time
    Then the metrics contain
      | galenakeel_processor_seconds_total 0.5                                           |
      | galenakeel_cell_work_total{cell="north",work="admission"} 5                      |
      | galenakeel_cell_work_seconds_total{cell="north",work="admission"} 0.02           |
      | galenakeel_cell_tasks{cell="north",state="waiting"} 4                            |
      | galenakeel_event_loop_delay_seconds{statistic="maximum"} 0                       |
