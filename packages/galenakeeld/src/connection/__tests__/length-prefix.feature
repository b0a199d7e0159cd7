Feature: Frames between daemons are split by the lengths in front of them

  Scenario Outline: Frames arrive whole however the connection cuts them
    Given frames of "1, 300, 0, 70000" bytes
    When they arrive in chunks of <bytes> bytes
    Then the frames are the same

    Examples:
      | bytes  |
      | 1      |
      | 3      |
      | 305    |
      | 65536  |
      | 100000 |

  Scenario: What is no stream of frames is rejected
    When the connection preface of HTTP/2 arrives
    Then it is rejected as malformed
