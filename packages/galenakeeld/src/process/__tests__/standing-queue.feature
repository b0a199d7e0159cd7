Feature: Standing queues

  Scenario Outline: Only a wait that stays high makes a queue standing
    When the expected wait is <wait> ms but for a moment of <lowest> ms in the last 2 s, of at most 1000 ms
    Then the queue counts as a "<kind>"

    Examples:
      | wait | lowest | kind           |
      | 900  | 900    | standing queue |
      | 300  | 60     | standing queue |
      | 900  | 50     | burst          |
      | 80   | 20     | burst          |

  Scenario Outline: Lent slots count until the queue is standing
    Given an instance of 8 slots that has lent <lent> of them
    When the queue is a "<kind>"
    Then its waiting tasks may expect <slots> slots

    Examples:
      | lent | kind           | slots |
      | 0    | burst          | 8     |
      | 6    | burst          | 8     |
      | 6    | standing queue | 2     |
