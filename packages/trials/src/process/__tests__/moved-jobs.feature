Feature: Jobs keep their promises around one fault of a daemon

  Scenario: A job whose holder stands still just after its tasks have started is not refused
    Given daemons of two zones with an objective of 60 ms, and a caller of a daemon that owns nothing
    When the caller sends a job of 2 tasks of 2100 ms that says 300 ms
    And "pause" happens to the "holder" 30 ms after the job was sent, for 1800 ms
    Then no promise was broken to any caller

  Scenario Outline: <fault> happens to the <daemon> while a job runs in two zones
    Given daemons of two zones with an objective of 5000 ms, and a caller of a daemon that owns nothing
    When the caller sends a job of 5 tasks of 4000 ms that says 4000 ms
    And "<fault>" happens to the "<daemon>" 600 ms after the job was sent, for <milliseconds> ms
    And another job that needs the room of the first zone is sent to its owner 100 ms before that ends
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
