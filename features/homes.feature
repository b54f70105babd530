Feature: Requests stay in their homes

  # Guards against a request that is executed, or whose body is sent, outside the regions
  # that its route and its workspace allow.
  Scenario Outline: Routes and workspaces have homes
    Given failure domains a and b in region north, c in region south and d in none that is known
    When a route has the homes <route> and its workspace <workspace>
    Then requests may run in the domains <domains>

    Examples:
      | route       | workspace | domains |
      | none        | none      | a,b,c,d |
      | north       | none      | a,b     |
      | none        | south     | c       |
      | north,south | south     | c       |
      | north       | south     | none    |

  # Guards against a directory that sends callers to a daemon in neither a home nor their own
  # region, and against one that names fewer daemons for routes without homes.
  Scenario Outline: A caller asks the directory
    Given failure domains a and b in region north, c in region south and d in none that is known
    And a route of host news.example with the home north, and one of host open.example
    When a caller asks with <query>
    Then daemons of the domains <domains> are named

    Examples:
      | query                               | domains |
      | name=news.example                   | a,b     |
      | name=News.Example:8000&region=south | a,b,c   |
      | name=news.example&zone=c            | a,b,c   |
      | name=news.example&region=west       | a,b     |
      | name=open.example&region=south      | a,b,c,d |
      | region=south                        | a,b,c,d |

  # Guards against a body that is forwarded outside the homes, or to a daemon that doesn't
  # know them.
  Scenario: A daemon that reaches no endpoint forwards a request with homes
    Then it forwards to a daemon in the homes that has the configuration and keeps homes
    And it doesn't forward to one elsewhere, one with an older configuration, or a former release
    And a request without homes may be forwarded to any of them

  # Guards against the choice of an endpoint in another region, by a real daemon and its
  # settings.
  Scenario: A daemon serves routes with homes in its own and in an unknown region
    Given a daemon in region north with one ledger in its domain and one elsewhere
    When 20 look-ups with the home north and 2 with the home south are sent
    Then the look-ups with the home north all ran in its domain
    And those with the home south were refused, and ran nowhere
    And its directory names it for the home north, and not for the home south
