Feature: Jobs that run in two zones keep their promises around one fault of a daemon

  Scenario Outline: <fault> happens to the <daemon> while a job runs in two zones
    Given daemons of two zones, and a job that needs the room of both, held in the first one by a daemon that owns nothing
    When "<fault>" happens to the "<daemon>" 600 ms after the job was sent, for <milliseconds> ms
    And jobs that need the room of their zone are sent to both owners 100 ms before that ends
    Then no promise was broken to any caller

    Examples:
      | daemon               | fault  | milliseconds |
      | holder               | pause  | 1800         |
      | holder               | kill   | 600          |
      | holder               | resets | 400          |
      | owner of its zone    | pause  | 1400         |
      | owner of its zone    | kill   | 600          |
      | owner of other zones | pause  | 1400         |
      | owner of other zones | kill   | 600          |
      | owner of other zones | resets | 400          |
