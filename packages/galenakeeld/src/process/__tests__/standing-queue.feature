Feature: Standing queues

  Scenario Outline: Only a wait that stays high indicates a standing queue
    When the expected wait is <wait> ms except for one sample of <lowest> ms in the last 2 s, with a maximum of 1000 ms
    Then the queue counts as a "<kind>"

    Examples:
      | wait | lowest | kind           |
      | 900  | 900    | standing queue |
      | 300  | 60     | standing queue |
      | 900  | 50     | burst          |
      | 80   | 20     | burst          |

  Scenario Outline: Lent slots count towards the expected slots until the queue is standing
    Given an instance of 8 slots that has lent <lent> of them
    When the queue is a "<kind>"
    Then <slots> slots are expected for its waiting tasks

    Examples:
      | lent | kind           | slots |
      | 0    | burst          | 8     |
      | 6    | burst          | 8     |
      | 6    | standing queue | 2     |
