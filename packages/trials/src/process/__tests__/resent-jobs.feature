Feature: A job that its caller sends again runs once at a time

  Background:
    Given 4 daemons of one zone with 6 endpoints, and a job of 3 tasks of 2500 ms at a daemon that doesn't own the cell

  Scenario Outline: A job whose holder and then owner stand still, and that is sent again, runs once at a time
    When the daemon that holds the job stands still, and the caller's connection breaks
    And the owner of the cell stands still <milliseconds> ms after that, for 1500 ms
    And the caller sends the job to another daemon 1300 ms after its connection broke
    Then no task ran twice at the same time

    Examples:
      | milliseconds |
      | 460          |
      | 520          |
      | 580          |
