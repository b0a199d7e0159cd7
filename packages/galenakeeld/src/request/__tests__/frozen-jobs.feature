Feature: A job that has started is not refused, whichever daemons stand still about its start

  # Guards against REFUSED (review/5): a holder that stood still answered 429 to a job that its owner had started.
  Scenario Outline: A job that is submitted once keeps the rules while the <frozen> stands still
    When the conversations of the seeds 1 to <last> are held, in which this stands still: <frozen>
    Then no rule was broken
    And jobs were run

    Examples:
      | frozen             | last |
      | holder             | 12   |
      | home owner         | 5    |
      | other owners       | 5    |
      | holder, then owner | 5    |
      | holder twice       | 5    |
