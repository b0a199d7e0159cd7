Feature: An unexpected error is reported, and the process goes on

  Scenario Outline: <kind>
    Given a process that reports unexpected errors
    When <kind>
    Then the process has reported an error of a "<origin>" with the detail "odd entry", and goes on

    Examples:
      | kind                      | origin   |
      | a timer throws            | callback |
      | a task that runs on fails | task     |
