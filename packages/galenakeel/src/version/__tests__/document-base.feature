Feature: The base version of a working copy

  Scenario: Only the line that names the base version is removed
    Then adding and splitting off the base version returns any document text unchanged, with the version

  Scenario: A text without a base version keeps every line
    Then the text "// a comment" has no base version and stays unchanged

  Scenario: A change is shown as a unified diff, and equal texts as an empty one
    Then the difference between "a" and "b" removes the first and adds the second
    And the difference between "a" and "a" is empty
