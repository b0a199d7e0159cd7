Feature: The checker of histories finds each broken promise

  Scenario: A history that keeps every promise
    Given a history of a complete job
    Then the checker finds nothing

  Scenario Outline: A history with <fault>
    Given a history of a complete job
    When it has "<fault>"
    Then the checker finds a violation of "<point>" only

    Examples:
      | fault                                       | point             |
      | a task that started twice                   | starts-once       |
      | a single request that started twice         | at-most-once      |
      | a complete job with an answer too few       | job-whole         |
      | a complete job with a part of an answer     | whole-answer      |
      | a complete job with another's answer        | whole-answer      |
      | a single answer that is a part              | whole-answer      |
      | an answer that was cut                      | whole-answer      |
      | two different complete answers              | whole-answer      |
      | a complete answer that no endpoint started  | whole-answer      |
      | a problem that says complete                | job-whole         |
      | a header that differs from the body         | job-whole         |
      | a job both complete and failed              | job-whole         |
      | a refusal of a task that started before     | true-refusal      |
      | a refusal of a task that started afterwards | true-refusal      |
      | a start on an endpoint that left            | leaving-endpoint  |
      | a version that went back                    | document-in-force |

  Scenario Outline: A history with <event> breaks nothing
    Given a history of a complete job
    When it has "<event>"
    Then the checker finds nothing

    Examples:
      | event                                  |
      | a refusal before another attempt's run |
      | an idempotent task that started twice  |
      | a cut answer of a killed daemon        |
