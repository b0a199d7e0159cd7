Feature: A job whose caller has left is not run

  # Guards against TWICE: a daemon that stood still submitted requests before it had read that their callers had left, while their jobs, sent again, ran elsewhere.
  Scenario Outline: A daemon that stood still runs no job whose caller left in the meantime
    Given 2 daemons of one zone with 6 endpoints
    When the <daemon> daemon stands still, 40 callers send it a job each, and leave 300 ms later
    And it goes on 1300 ms after they left
    Then none of their tasks is started

    Examples:
      | daemon |
      | other  |
      | owning |
